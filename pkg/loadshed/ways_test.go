package loadshed_test

import (
	"fmt"
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// allShards are asked by a request that leaves none to others.
var allShards = func() []int {
	var shards []int
	for shard := range modelShards {
		shards = append(shards, shard)
	}
	return shards
}()

// everything lets all requests in.
type everything struct{}

func (everything) admit(*asked, time.Time) []int  { return allShards }
func (everything) offered(int, *asked, time.Time) {}
func (everything) served(int, *asked)             {}
func (everything) ended(*asked, bool, time.Time)  {}
func (everything) judge(*model, time.Time)        {}

// learned lets in a share that each node learns from five of its own requests at their end.
type learned struct {
	everything
	nodes [modelNodes]struct {
		share     float64
		let, lost int
	}
}

func newLearned() *learned {
	created := &learned{}
	for index := range created.nodes {
		created.nodes[index].share = 1
	}
	return created
}

func (l *learned) admit(request *asked, _ time.Time) []int {
	if float64(request.lot)/(1<<64) < 1-l.nodes[request.node].share {
		return nil
	}
	return allShards
}

func (l *learned) ended(request *asked, _ bool, _ time.Time) {
	node := &l.nodes[request.node]
	node.let++
	if request.got < request.needed {
		node.lost++
	}
}

func (l *learned) judge(*model, time.Time) {
	for index := range l.nodes {
		node := &l.nodes[index]
		if node.lost > 0 && node.let < 5 {
			continue
		}
		if loss := float64(node.lost) / float64(max(1, node.let)); loss > 0.05 {
			node.share = max(0.05, node.share*(1-min(loss-0.05, 0.5)))
		} else {
			node.share = min(1, node.share+0.02)
		}
		node.let, node.lost = 0, 0
	}
}

// credits are granted to nodes each 100 ms, as much as servers of the scarcest shards did.
type credits struct {
	everything
	left      [modelNodes]float64
	done      [modelShards]float64
	isLimited bool
}

func (c *credits) admit(request *asked, _ time.Time) []int {
	if !c.isLimited {
		return allShards
	}
	if c.left[request.node] < request.work.Seconds() {
		return nil
	}
	c.left[request.node] -= request.work.Seconds()
	return allShards
}

func (c *credits) served(shard int, request *asked) { c.done[shard] += request.work.Seconds() }

func (c *credits) judge(m *model, _ time.Time) {
	least := modelCapacity
	c.isLimited = false
	for shard := range c.done {
		if len(m.queues[shard]) > 5 {
			c.isLimited, least = true, min(least, c.done[shard]*10)
		}
		c.done[shard] = 0
	}
	for node := range c.left {
		c.left[node] = min(c.left[node]+least*1.05/10/modelNodes, 0.06)
	}
}

// priced lets a request in whose lot pays the sum of the prices of the shards that it needs;
// each shard's price follows its queue.
type priced struct {
	everything
	prices [modelShards]float64
}

func (p *priced) admit(request *asked, _ time.Time) []int {
	sum := 0.0
	for _, price := range p.prices {
		sum += price * request.work.Seconds() / 0.028
	}
	if float64(request.lot)/(1<<64) < sum {
		return nil
	}
	return allShards
}

func (p *priced) judge(m *model, _ time.Time) {
	for shard, queue := range m.queues {
		if len(queue) > 5 {
			p.prices[shard] = min(0.95, p.prices[shard]+0.03)
		} else {
			p.prices[shard] = max(0, p.prices[shard]*0.9-0.005)
		}
	}
}

// told is the way that is built: a meter at each owner, and what they tell on one board.
type told struct {
	board  *loadshed.Admitter
	meters [modelShards]*loadshed.Meter
	names  []string
	// news are what owners have told and nodes do not know yet.
	news []loadshed.Measurement
}

func newTold(now time.Time) *told {
	created := &told{board: loadshed.NewAdmitter()}
	for shard := range created.meters {
		created.meters[shard] = loadshed.NewMeter(now)
		created.names = append(created.names, fmt.Sprint("shard", shard))
	}
	return created
}

func (w *told) admit(request *asked, now time.Time) []int {
	for len(w.news) > 0 && now.Sub(w.news[0].MeasuredAt) >= modelNews {
		w.board.Update(w.news[0].Key, w.news[0].Shares, w.news[0].MeasuredAt)
		w.news = w.news[1:]
	}
	decision := w.board.Admit(w.names, "", request.needed, request.class(), request.lot, now)
	if !decision.IsAdmitted {
		return nil
	}
	var shards []int
	for shard, name := range w.names {
		request.shares[shard] = w.board.ShareOf(loadshed.Key{Service: name}, request.class(), now)
		isSpared := false
		for _, spared := range decision.Skipped {
			isSpared = isSpared || spared == shard
		}
		if !isSpared {
			shards = append(shards, shard)
		}
	}
	return shards
}

func (w *told) offered(shard int, request *asked, _ time.Time) {
	w.meters[shard].RecordAdmitted(loadshed.AdmittedRequest{Class: request.class(), Work: request.work, Share: request.shares[shard]})
}

func (w *told) served(shard int, request *asked) { w.meters[shard].RecordServed(request.work) }
func (w *told) ended(*asked, bool, time.Time)    {}
func (w *told) judge(model *model, now time.Time) {
	for shard, meter := range w.meters {
		var backlog loadshed.Backlog
		for _, request := range model.queues[shard] {
			if !request.ended && now.Sub(request.came) < request.target {
				backlog.Waiting++
				backlog.Target += request.target
			}
		}
		if backlog.Waiting > 0 {
			backlog.Target /= time.Duration(backlog.Waiting)
		}
		meter.Evaluate(backlog, now)
		shares, at := meter.Shares()
		w.news = append(w.news, loadshed.Measurement{Key: loadshed.Key{Service: w.names[shard]}, Shares: shares, MeasuredAt: at})
	}
}
