package catalog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// drawUpdate draws arbitrary updates about few servers and instances, so that many of them
// conflict.
func drawUpdate(t *rapid.T) Update {
	number := rapid.IntRange(0, 1).Draw(t, "server")
	update := Update{Server: serverID(number), Observer: "peer"}
	if rapid.Bool().Draw(t, "operator") {
		update.Operator = OperatorMark{
			Sequence: rapid.Uint64Range(1, 3).Draw(t, "sequence"),
			Drained:  rapid.Bool().Draw(t, "drained"),
			Author:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "author"),
		}
	}
	if rapid.IntRange(0, 4).Draw(t, "instance") > 0 {
		update.Instance = Instance{
			ID:         rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "id"),
			Generation: rapid.Uint64Range(0, 3).Draw(t, "generation"),
			Draining:   rapid.Bool().Draw(t, "draining"),
			Liveness:   rapid.Uint64Range(0, 3).Draw(t, "liveness"),
		}
		if revision := rapid.Uint64Range(0, 2).Draw(t, "revision"); revision > 0 {
			version := target.Version(rapid.IntRange(1, 2).Draw(t, "version"))
			update.Instance.Revision = revision
			update.Instance.Contents = newContents(statusOf(number, update.Instance.ID, false, version))
		}
	}
	return update
}

// drawUpdateOrChange also draws version changes, for instances that other updates may concern.
func drawUpdateOrChange(t *rapid.T) Update {
	if rapid.Bool().Draw(t, "whole") {
		return drawUpdate(t)
	}
	number := rapid.IntRange(0, 1).Draw(t, "server")
	instance := Instance{ID: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "id")}
	instance.Contents = newContents(statusOf(number, instance.ID, false, 1))
	versions := rapid.SampledFrom([][]target.Version{{1}, {2}, {1, 2}, {2, 1}}).Draw(t, "versions")
	return Update{Kind: KindContents, Change: VersionChange{
		Base:     computeBase(serverID(number), &instance),
		Revision: rapid.Uint64Range(1, 3).Draw(t, "revision"),
		Versions: versions,
	}}
}

func newTestCatalog(node target.NodeID, now func() time.Time) *Catalog {
	created := New(Options{Node: node, Zone: "zone", Now: now})
	created.ReplaceMachines(listOf(2))
	return created
}

// describeState describes the view and all facts that nodes share about the servers.
func describeState(c *Catalog) string {
	text := contentsOf(c.View(testService))
	for _, number := range []int{0, 1} {
		f := &c.find(serverID(number)).facts
		text += fmt.Sprintf("\n%s operator %+v", serverID(number), f.operator)
		for _, id := range []string{"x", "y", "z"} {
			known := f.instance(id).Instance
			text += fmt.Sprintf(" %s %d %v %d %d %x", known.ID, known.Generation, known.Draining, known.Liveness,
				known.Revision, contentsKey(known.Contents))
		}
	}
	return text
}

// TestNewsConverge guards against catalogs that diverge: two of them get the same updates in
// different orders and with repeats. A third gets the snapshot of the second.
func TestNewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := newClock().Now
		first, second := newTestCatalog("first", now), newTestCatalog("second", now)
		var batch []Update
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			batch = append(batch, drawUpdateOrChange(t))
		}
		first.Apply(batch...)
		shuffled := rapid.Permutation(batch).Draw(t, "order")
		for _, update := range shuffled {
			second.Apply(update)
		}
		if again := second.Apply(batch...); len(again) > 0 {
			t.Fatalf("known updates would be forwarded again: %+v", again)
		}
		if a, b := describeState(first), describeState(second); a != b {
			t.Fatalf("states differ:\n%s\n%s", a, b)
		}
		third := newTestCatalog("third", now)
		third.Apply(second.Snapshot()...)
		if a, b := describeState(first), describeState(third); a != b {
			t.Fatalf("state from the snapshot differs:\n%s\n%s", a, b)
		}
	})
}

// peers are nodes that observe the same servers and exchange updates, which may be late, repeated
// and out of order.
type peers struct {
	clock    *clock
	catalogs []*Catalog
	// inbox holds the undelivered updates of each node.
	inbox [][]Update
	sent  int
}

func newPeers(nodes int) *peers {
	p := &peers{clock: newClock(), inbox: make([][]Update, nodes)}
	for node := range nodes {
		created := New(Options{
			Node: target.NodeID(fmt.Sprint(node)), Zone: "zone", Now: p.clock.Now,
			OnUpdate: func(update Update) { p.send(node, update) },
		})
		created.ReplaceMachines(listOf(2))
		p.catalogs = append(p.catalogs, created)
	}
	return p
}

// send puts an update into the inboxes of the other nodes, after a round trip through its wire
// form.
func (p *peers) send(from int, update Update) {
	p.sent++
	encoded, err := EncodeUpdates([]Update{update})
	if err != nil {
		panic(err)
	}
	decoded, err := DecodeUpdates(encoded)
	if err != nil {
		panic(err)
	}
	update = decoded[0]
	for node := range p.inbox {
		if node != from {
			p.inbox[node] = append(p.inbox[node], update)
		}
	}
}

// deliver applies the update at index, forwards the resulting updates, and keeps a copy in the
// inbox if repeat is set.
func (p *peers) deliver(node, index int, repeat bool) {
	update := p.inbox[node][index]
	if !repeat {
		p.inbox[node] = append(p.inbox[node][:index], p.inbox[node][index+1:]...)
	}
	for _, applied := range p.catalogs[node].Apply(update) {
		p.send(node, applied)
	}
}

// TestPeersConverge guards against nodes that disagree, or that forward updates forever, when they
// observe servers and exchange updates in any order.
func TestPeersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPeers(2)
		instances := []int{0, 0}
		drained := []bool{false, false}
		versions := []target.Version{1, 1}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			node, number := rapid.IntRange(0, 1).Draw(t, "node"), rapid.IntRange(0, 1).Draw(t, "server")
			p.clock.advance(time.Second)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				instances[number]++
				drained[number] = false
			case 1:
				drained[number] = true
			case 2, 3:
				status := statusOf(number, fmt.Sprint(instances[number]), drained[number], versions[number])
				p.catalogs[node].ReportProbe(serverID(number), p.clock.now, status, nil)
			case 4:
				p.catalogs[node].ReportProbe(serverID(number), p.clock.now, nil, errTest)
			case 5:
				if len(p.inbox[node]) > 0 {
					index := rapid.IntRange(0, len(p.inbox[node])-1).Draw(t, "news")
					p.deliver(node, index, rapid.Bool().Draw(t, "repeat"))
				}
			case 6:
				versions[number]++
			}
		}
		p.deliverAll(t)
		for number := range drained {
			p.checkAgreement(t, number)
		}
		// One more round of probes: the current status of the servers must prevail.
		for number := range drained {
			status := statusOf(number, fmt.Sprint(instances[number]), drained[number], versions[number])
			p.catalogs[0].ReportProbe(serverID(number), p.clock.now, status, nil)
		}
		p.deliverAll(t)
		for number := range drained {
			server := p.checkAgreement(t, number)
			if (server.State == Leaving) != drained[number] {
				t.Fatalf("%s is %s, drained %v", server.ID, server.State, drained[number])
			}
			if server.Indexes[0].Version != versions[number] {
				t.Fatalf("%s has version %d, but the view has %d", server.ID, versions[number], server.Indexes[0].Version)
			}
		}
	})
}

// deliverAll delivers all updates; forwarding must end.
func (p *peers) deliverAll(t *rapid.T) {
	const bound = 10_000
	for count := 0; len(p.inbox[0])+len(p.inbox[1]) > 0; count++ {
		if count > bound {
			t.Fatal("updates are forwarded endlessly")
		}
		for node := range p.inbox {
			if len(p.inbox[node]) > 0 {
				p.deliver(node, len(p.inbox[node])-1, false)
			}
		}
	}
}

// checkAgreement fails unless both nodes have the same facts about a server. It returns the
// server's entry in the second node's view.
func (p *peers) checkAgreement(t *rapid.T, number int) *Server {
	var states []string
	for _, c := range p.catalogs {
		f := &c.find(serverID(number)).facts
		current := f.current()
		if current == nil {
			current = &instanceFacts{}
		}
		states = append(states, fmt.Sprint(current.ID, current.Generation, current.Draining, current.Liveness))
	}
	if states[0] != states[1] {
		t.Fatalf("facts about %s differ: %s and %s", serverID(number), states[0], states[1])
	}
	return serverOf(p.catalogs[1].View(testService), serverID(number))
}
