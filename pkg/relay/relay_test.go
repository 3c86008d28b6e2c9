package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const retention = 10 * time.Second

func newTestQueue() *Queue[string, int] {
	return NewQueue(Config[string, int]{
		Retention: retention,
		MaxItems:  100,
		MaxBatch:  3,
		Size:      func(int) int { return 1 },
	})
}

func isHealthy(string) bool { return true }

// nodesOf returns the nodes of batches.
func nodesOf(batches []Batch[string, int]) []string {
	var nodes []string
	for _, batch := range batches {
		nodes = append(nodes, batch.Node)
	}
	return nodes
}

func expectNodes(t *testing.T, batches []Batch[string, int], nodes ...string) {
	t.Helper()
	if got := nodesOf(batches); !slices.Equal(got, nodes) {
		t.Errorf("batches for %v, want %v", got, nodes)
	}
}

func TestItemsAreSentUntilTheyAreAcknowledged(t *testing.T) {
	now := time.Now()
	queue := newTestQueue()
	queue.Follow([]string{"b", "c", "d"}, RingSuccessors, isHealthy)
	queue.Add(1, now)
	batches := queue.Take(now)
	expectNodes(t, batches, "b", "c")
	expectNodes(t, queue.Take(now))
	queue.Acknowledge(batches[0])
	queue.Fail(batches[1], now)
	expectNodes(t, queue.Take(now), "c")
	if !queue.Acknowledged(func(item int) bool { return item == 1 }) {
		t.Error("an item that one node has acknowledged does not count as acknowledged")
	}
}

// TestNodesThatDoNotAnswerArePassedOver lets the nodes that follow fail. Those behind them must be
// sent what came before, and the first ones must still be tried.
func TestNodesThatDoNotAnswerArePassedOver(t *testing.T) {
	now := time.Now()
	following := []string{"b", "c", "d", "e", "f"}
	queue := newTestQueue()
	queue.Follow(following, RingSuccessors, isHealthy)
	queue.Add(1, now)
	for _, batch := range queue.Take(now) {
		queue.Fail(batch, now)
	}
	queue.Follow(following, RingSuccessors, isHealthy)
	batches := queue.Take(now)
	expectNodes(t, batches, "b", "c", "d", "e")
	for _, batch := range batches[:2] {
		queue.Fail(batch, now)
	}
	for _, batch := range batches[2:] {
		queue.Acknowledge(batch)
	}
	expectNodes(t, queue.Take(now))
	expectNodes(t, queue.Take(now.Add(maxBackoff)), "b", "c")
}

func TestANodeThatAnswersAgainIsEnough(t *testing.T) {
	now := time.Now()
	following := []string{"b", "c", "d"}
	queue := newTestQueue()
	queue.Follow(following, RingSuccessors, isHealthy)
	queue.Add(1, now)
	batches := queue.Take(now)
	queue.Fail(batches[0], now)
	queue.Acknowledge(batches[1])
	queue.Follow(following, RingSuccessors, isHealthy)
	batches = queue.Take(now)
	expectNodes(t, batches, "b", "d")
	queue.Acknowledge(batches[0])
	queue.Acknowledge(batches[1])
	queue.Follow(following, RingSuccessors, isHealthy)
	queue.Add(2, now)
	expectNodes(t, queue.Take(now), "b", "c")
}

func TestUnhealthyNodesAreSentItemsToo(t *testing.T) {
	now := time.Now()
	queue := newTestQueue()
	queue.Follow([]string{"b", "c", "d", "e"}, RingSuccessors, func(node string) bool { return node != "b" })
	queue.Add(1, now)
	expectNodes(t, queue.Take(now), "b", "c", "d")
}

func TestItemsExpire(t *testing.T) {
	now := time.Now()
	queue := newTestQueue()
	queue.Follow([]string{"b"}, RingSuccessors, isHealthy)
	queue.Add(1, now)
	queue.Expire(now.Add(retention))
	if queue.Waiting() {
		t.Error("an item waits beyond its retention")
	}
	queue.Follow([]string{"c"}, RingSuccessors, isHealthy)
	expectNodes(t, queue.Take(now))
}

// TestEveryNodeReceivesEveryItem runs nodes that deliver along a ring while some of them answer
// nobody and single messages are lost. All others must receive every item.
func TestEveryNodeReceivesEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 20).Draw(t, "nodes")
		silent := rapid.SliceOfNDistinct(rapid.IntRange(0, size-1), 0, min(size-1, maxPassedOver), rapid.ID).Draw(t, "silent")
		lost := rapid.SliceOfN(rapid.IntRange(0, 4*size), 0, size).Draw(t, "lost")
		group := newGroup(size, silent, lost)
		for item := range rapid.IntRange(1, 5).Draw(t, "items") {
			group.receive(group.answering()[item%len(group.answering())], item)
			group.run(3 * time.Second)
			for _, node := range group.answering() {
				if !group.received[node][item] {
					t.Fatalf("%s has not received item %d", node, item)
				}
			}
		}
	})
}

// group is nodes that deliver to each other.
type group struct {
	now      time.Time
	nodes    []string
	queues   map[string]*Queue[string, int]
	received map[string]map[int]bool
	silent   map[string]bool
	// lost holds the numbers of the messages that are lost; sent counts them.
	lost []int
	sent int
}

func newGroup(size int, silent, lost []int) *group {
	g := &group{now: time.Now(), lost: lost, queues: make(map[string]*Queue[string, int]), received: make(map[string]map[int]bool), silent: make(map[string]bool)}
	for number := range size {
		g.nodes = append(g.nodes, fmt.Sprint("node", number))
	}
	for _, number := range silent {
		g.silent[g.nodes[number]] = true
	}
	for _, node := range g.nodes {
		g.queues[node] = newTestQueue()
		g.received[node] = make(map[int]bool)
	}
	return g
}

// following returns the nodes after one of them on the ring.
func (g *group) following(node string) []string {
	index := slices.Index(g.nodes, node)
	return append(slices.Clone(g.nodes[index+1:]), g.nodes[:index]...)
}

func (g *group) answering() []string {
	return slices.DeleteFunc(slices.Clone(g.nodes), func(node string) bool { return g.silent[node] })
}

func (g *group) receive(node string, item int) {
	if !g.received[node][item] {
		g.received[node][item] = true
		g.queues[node].Add(item, g.now)
	}
}

// run lets all nodes deliver for a time.
func (g *group) run(span time.Duration) {
	for end := g.now.Add(span); g.now.Before(end); g.now = g.now.Add(minBackoff) {
		for _, node := range g.answering() {
			queue := g.queues[node]
			queue.Expire(g.now)
			queue.Follow(g.following(node), RingSuccessors, isHealthy)
			for _, batch := range queue.Take(g.now) {
				g.send(queue, batch)
			}
		}
	}
}

func (g *group) send(queue *Queue[string, int], batch Batch[string, int]) {
	g.sent++
	if g.silent[batch.Node] || slices.Contains(g.lost, g.sent) {
		queue.Fail(batch, g.now)
		return
	}
	for _, item := range batch.Items {
		g.receive(batch.Node, item)
	}
	queue.Acknowledge(batch)
}
