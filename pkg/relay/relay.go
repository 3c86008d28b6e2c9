// Package relay delivers items to other nodes and repeats each of them until the nodes acknowledge it.
// Where every node delivers to those that follow it on a ring (package ring), each node has fixed
// senders, and none depends on being drawn at random. The package decides what is to be sent to whom
// and when; the caller sends. Nothing in it is safe for concurrent use.
package relay

import (
	"slices"
	"time"
)

// RingSuccessors is the number of reachable nodes to which each node of a ring delivers an item. With
// two, a node still receives what one of those before it fails to deliver.
const RingSuccessors = 2

const (
	// maxPassedOver bounds the nodes that do not answer, or are not healthy, and are passed over.
	maxPassedOver = 6
	// minBackoff and maxBackoff bound the time between two attempts to deliver to a node that does
	// not answer.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxDoublings bounds the exponent of the backoff.
	maxDoublings = 10
)

// Config describes the items and what to keep of them. All fields but Skip and Obsolete are required.
type Config[Node, Item any] struct {
	// Retention is how long delivery of an item is attempted.
	Retention time.Duration
	// MaxItems bounds the items that are kept for delivery; the oldest are dropped.
	MaxItems int
	// MaxBatch bounds the sum of the sizes of the items in one batch.
	MaxBatch int
	Size     func(item Item) int
	// Skip reports whether a node does not need an item.
	Skip func(node Node, item Item) bool
	// Obsolete reports whether an item need not be delivered any more.
	Obsolete func(item Item) bool
}

// Queue holds the items that a node delivers to some others, its successors.
type Queue[Node, Item comparable] struct {
	config Config[Node, Item]
	// recent holds the items of the last Retention, oldest first.
	recent     []entry[Item]
	successors []*successor[Node, Item]
}

// entry is an item and when it was added.
type entry[Item any] struct {
	item    Item
	addedAt time.Time
}

// successor is the state of the deliveries to one node.
type successor[Node, Item any] struct {
	node Node
	// pending holds the items that the node has not acknowledged, oldest first.
	pending  []entry[Item]
	inFlight bool
	// failures counts the failed deliveries since the last acknowledgement.
	failures int
	retryAt  time.Time
}

// Batch is the content of one message to a node. Its end must be reported by Acknowledge or Fail.
type Batch[Node, Item any] struct {
	Node      Node
	Items     []Item
	successor *successor[Node, Item]
}

// NewQueue returns an empty queue without successors.
func NewQueue[Node, Item comparable](config Config[Node, Item]) *Queue[Node, Item] {
	if config.Skip == nil {
		config.Skip = func(Node, Item) bool { return false }
	}
	if config.Obsolete == nil {
		config.Obsolete = func(Item) bool { return false }
	}
	return &Queue[Node, Item]{config: config}
}

// Add queues an item for every successor.
func (q *Queue[Node, Item]) Add(item Item, now time.Time) {
	if len(q.recent) == q.config.MaxItems {
		q.recent = q.recent[1:]
	}
	added := entry[Item]{item: item, addedAt: now}
	q.recent = append(q.recent, added)
	for _, each := range q.successors {
		q.queueFor(each, added)
	}
}

// queueFor queues an item for one successor.
func (q *Queue[Node, Item]) queueFor(to *successor[Node, Item], added entry[Item]) {
	if q.config.Skip(to.node, added.item) {
		return
	}
	if len(to.pending) == q.config.MaxItems {
		to.pending = to.pending[1:]
	}
	to.pending = append(to.pending, added)
}

// Clear drops all items.
func (q *Queue[Node, Item]) Clear() {
	q.recent = nil
	q.successors = nil
}

// Expire drops the items that are obsolete or older than Retention.
func (q *Queue[Node, Item]) Expire(now time.Time) {
	outdated := func(each entry[Item]) bool {
		return q.config.Obsolete(each.item) || now.Sub(each.addedAt) >= q.config.Retention
	}
	q.recent = slices.DeleteFunc(q.recent, outdated)
	for _, each := range q.successors {
		each.pending = slices.DeleteFunc(each.pending, outdated)
	}
}

// Follow sets the nodes to deliver to: the first of those given, until wanted of them are healthy, as
// far as the caller knows, and answer. Items are delivered to those passed over too. All recent items
// are queued for a new one, because the node that preceded it may not have delivered them.
func (q *Queue[Node, Item]) Follow(following []Node, wanted int, healthy func(node Node) bool) {
	var followed []*successor[Node, Item]
	missing := wanted
	for _, node := range following[:min(wanted+maxPassedOver, len(following))] {
		known := q.successorOf(node)
		if known == nil {
			known = q.newSuccessor(node)
		}
		followed = append(followed, known)
		if known.failures == 0 && healthy(node) {
			missing--
		}
		if missing == 0 {
			break
		}
	}
	q.successors = followed
}

func (q *Queue[Node, Item]) newSuccessor(node Node) *successor[Node, Item] {
	added := &successor[Node, Item]{node: node}
	for _, each := range q.recent {
		q.queueFor(added, each)
	}
	return added
}

func (q *Queue[Node, Item]) successorOf(node Node) *successor[Node, Item] {
	for _, each := range q.successors {
		if each.node == node {
			return each
		}
	}
	return nil
}

// Waiting reports whether any item has not been acknowledged.
func (q *Queue[Node, Item]) Waiting() bool {
	return slices.ContainsFunc(q.successors, func(each *successor[Node, Item]) bool { return len(each.pending) > 0 })
}

// Acknowledged reports whether one successor has acknowledged all items that match. It is true
// without successors.
func (q *Queue[Node, Item]) Acknowledged(match func(item Item) bool) bool {
	awaitsNone := func(each *successor[Node, Item]) bool {
		return !slices.ContainsFunc(each.pending, func(pending entry[Item]) bool { return match(pending.item) })
	}
	return len(q.successors) == 0 || slices.ContainsFunc(q.successors, awaitsNone)
}

// Take returns the batches that are to be sent now.
func (q *Queue[Node, Item]) Take(now time.Time) []Batch[Node, Item] {
	var batches []Batch[Node, Item]
	for _, each := range q.successors {
		if len(each.pending) == 0 || each.inFlight || now.Before(each.retryAt) {
			continue
		}
		each.inFlight = true
		batches = append(batches, Batch[Node, Item]{Node: each.node, Items: q.next(each), successor: each})
	}
	return batches
}

// next returns the oldest pending items of a successor that fit in one batch.
func (q *Queue[Node, Item]) next(of *successor[Node, Item]) []Item {
	var items []Item
	left := q.config.MaxBatch
	for _, each := range of.pending {
		left -= q.config.Size(each.item)
		if left < 0 && len(items) > 0 {
			break
		}
		items = append(items, each.item)
	}
	return items
}

// Acknowledge records that a batch was delivered.
func (q *Queue[Node, Item]) Acknowledge(batch Batch[Node, Item]) {
	to := batch.successor
	to.inFlight = false
	to.failures = 0
	to.retryAt = time.Time{}
	to.pending = slices.DeleteFunc(to.pending, func(each entry[Item]) bool { return slices.Contains(batch.Items, each.item) })
}

// Fail records that a batch was not acknowledged, and returns the time until the next attempt. The
// first one is made without delay, because a single failure is usually a lost message.
func (q *Queue[Node, Item]) Fail(batch Batch[Node, Item], now time.Time) time.Duration {
	to := batch.successor
	to.inFlight = false
	backoff := time.Duration(0)
	if to.failures > 0 {
		backoff = min(minBackoff<<min(to.failures, maxDoublings), maxBackoff)
	}
	to.failures++
	to.retryAt = now.Add(backoff)
	return backoff
}
