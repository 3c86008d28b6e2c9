package loadshed_test

import (
	"fmt"
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// allShards are the shards of a request that skips none.
var allShards = func() []int {
	var shards []int
	for shard := range modelShards {
		shards = append(shards, shard)
	}
	return shards
}()

// admitAll admits all requests.
type admitAll struct{}

func (admitAll) admit(*modelRequest, time.Time) []int   { return allShards }
func (admitAll) admitted(int, *modelRequest, time.Time) {}
func (admitAll) served(int, *modelRequest)              {}
func (admitAll) ended(*modelRequest, bool, time.Time)   {}
func (admitAll) evaluate(*model, time.Time)             {}

// learned admits a share that each node learns from the ends of at least five of its own requests.
type learned struct {
	admitAll
	nodes [modelNodes]struct {
		share                      float64
		admittedCount, failedCount int
	}
}

func newLearned() *learned {
	created := &learned{}
	for index := range created.nodes {
		created.nodes[index].share = 1
	}
	return created
}

func (l *learned) admit(request *modelRequest, _ time.Time) []int {
	if float64(request.sample)/(1<<64) < 1-l.nodes[request.node].share {
		return nil
	}
	return allShards
}

func (l *learned) ended(request *modelRequest, _ bool, _ time.Time) {
	node := &l.nodes[request.node]
	node.admittedCount++
	if request.answered < request.needed {
		node.failedCount++
	}
}

func (l *learned) evaluate(*model, time.Time) {
	for index := range l.nodes {
		node := &l.nodes[index]
		if node.failedCount > 0 && node.admittedCount < 5 {
			continue
		}
		if loss := float64(node.failedCount) / float64(max(1, node.admittedCount)); loss > 0.05 {
			node.share = max(0.05, node.share*(1-min(loss-0.05, 0.5)))
		} else {
			node.share = min(1, node.share+0.02)
		}
		node.admittedCount, node.failedCount = 0, 0
	}
}

// credits grants credits to the nodes every 100 ms, as much as the servers of the scarcest shard
// have worked.
type credits struct {
	admitAll
	left       [modelNodes]float64
	servedWork [modelShards]float64
	isLimited  bool
}

func (c *credits) admit(request *modelRequest, _ time.Time) []int {
	if !c.isLimited {
		return allShards
	}
	if c.left[request.node] < request.work.Seconds() {
		return nil
	}
	c.left[request.node] -= request.work.Seconds()
	return allShards
}

func (c *credits) served(shard int, request *modelRequest) {
	c.servedWork[shard] += request.work.Seconds()
}

func (c *credits) evaluate(m *model, _ time.Time) {
	minCapacity := modelCapacity
	c.isLimited = false
	for shard := range c.servedWork {
		if len(m.queues[shard]) > 5 {
			c.isLimited, minCapacity = true, min(minCapacity, c.servedWork[shard]*10)
		}
		c.servedWork[shard] = 0
	}
	for node := range c.left {
		c.left[node] = min(c.left[node]+minCapacity*1.05/10/modelNodes, 0.06)
	}
}

// priced admits a request whose sampling value is at least the sum of the prices of the shards. The
// price of each shard follows its queue.
type priced struct {
	admitAll
	prices [modelShards]float64
}

func (p *priced) admit(request *modelRequest, _ time.Time) []int {
	sum := 0.0
	for _, price := range p.prices {
		sum += price * request.work.Seconds() / 0.028
	}
	if float64(request.sample)/(1<<64) < sum {
		return nil
	}
	return allShards
}

func (p *priced) evaluate(m *model, _ time.Time) {
	for shard, queue := range m.queues {
		if len(queue) > 5 {
			p.prices[shard] = min(0.95, p.prices[shard]+0.03)
		} else {
			p.prices[shard] = max(0, p.prices[shard]*0.9-0.005)
		}
	}
}

// measuredShares is the scheme that is implemented: a meter at each owner, and one admitter that
// receives their shares.
type measuredShares struct {
	admitter *loadshed.Admitter
	meters   [modelShards]*loadshed.Meter
	names    []string
	// inTransit are the measurements that owners have sent and nodes have not received yet.
	inTransit []loadshed.Measurement
}

func newMeasuredShares(now time.Time) *measuredShares {
	created := &measuredShares{admitter: loadshed.NewAdmitter()}
	for shard := range created.meters {
		created.meters[shard] = loadshed.NewMeter(now)
		created.names = append(created.names, fmt.Sprint("shard", shard))
	}
	return created
}

func (s *measuredShares) admit(request *modelRequest, now time.Time) []int {
	for len(s.inTransit) > 0 && now.Sub(s.inTransit[0].MeasuredAt) >= modelDelay {
		s.admitter.Update(s.inTransit[0].Key, s.inTransit[0].Shares, s.inTransit[0].MeasuredAt)
		s.inTransit = s.inTransit[1:]
	}
	decision := s.admitter.Admit(s.names, "", request.needed, request.class(), request.sample, now)
	if !decision.IsAdmitted {
		return nil
	}
	var shards []int
	for shard, name := range s.names {
		request.shares[shard] = s.admitter.ShareOf(loadshed.Key{Service: name}, request.class(), now)
		isSkipped := false
		for _, skipped := range decision.Skipped {
			isSkipped = isSkipped || skipped == shard
		}
		if !isSkipped {
			shards = append(shards, shard)
		}
	}
	return shards
}

func (s *measuredShares) admitted(shard int, request *modelRequest, _ time.Time) {
	s.meters[shard].RecordAdmitted(loadshed.AdmittedRequest{Class: request.class(), Work: request.work, Share: request.shares[shard]})
}

func (s *measuredShares) served(shard int, request *modelRequest) {
	s.meters[shard].RecordServed(request.work)
}
func (s *measuredShares) ended(*modelRequest, bool, time.Time) {}
func (s *measuredShares) evaluate(model *model, now time.Time) {
	for shard, meter := range s.meters {
		var backlog loadshed.Backlog
		for _, request := range model.queues[shard] {
			if !request.ended && now.Sub(request.arrivedAt) < request.target {
				backlog.Waiting++
				backlog.Target += request.target
			}
		}
		if backlog.Waiting > 0 {
			backlog.Target /= time.Duration(backlog.Waiting)
		}
		meter.Evaluate(backlog, now)
		shares, at := meter.Shares()
		s.inTransit = append(s.inTransit, loadshed.Measurement{Key: loadshed.Key{Service: s.names[shard]}, Shares: shares, MeasuredAt: at})
	}
}
