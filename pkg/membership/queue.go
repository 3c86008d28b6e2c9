package membership

import (
	"time"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/relay"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// maxQueued bounds the number of queued items.
	maxQueued = 4096
	// entryOverhead is the size of the framing of one item in a message, in bytes.
	entryOverhead = 4
)

// item is one piece of gossip that is sent a limited number of times. Either entry or broadcast is
// set.
type item struct {
	key        string
	entry      *pb.Entry
	broadcast  *pb.News
	size       int
	superseded bool
}

// appendTo adds the item to a message.
func (i *item) appendTo(gossip *pb.Gossip) {
	if i.entry != nil {
		gossip.Entries = append(gossip.Entries, i.entry)
		return
	}
	gossip.News = append(gossip.News, i.broadcast)
}

// queue holds the gossip that this node passes on, to random members and to its successors. Of the
// items for random members, those that were sent least often go first. It is not safe for
// concurrent use.
type queue struct {
	// tiers[n] holds the items that were sent n times, oldest first.
	tiers [][]*item
	byKey map[string]*item
	relay *relay.Queue[target.NodeID, *item]
}

// relayRetention is how long delivery of an item to a successor is attempted. After that, the
// periodic comparison of lists supplies it.
const relayRetention = DefaultSyncPeriod

func newQueue() *queue {
	return &queue{byKey: make(map[string]*item), relay: relay.NewQueue(relay.Config[target.NodeID, *item]{
		Retention: relayRetention,
		MaxItems:  maxQueued,
		MaxBatch:  maxGossipBytes,
		Size:      func(each *item) int { return each.size },
		Skip:      func(id target.NodeID, each *item) bool { return each.key == entryKey(string(id)) },
		Obsolete:  func(each *item) bool { return each.superseded },
	})}
}

// addEntry queues an entry. It replaces an earlier entry about the same member.
func (q *queue) addEntry(entry *pb.Entry) {
	q.add(&item{key: entryKey(entry.Id), entry: entry, size: entry.SizeVT() + entryOverhead})
}

// entryKey returns the key of the entry about a member.
func entryKey(id string) string { return "member/" + id }

// announced reports whether an item has been sent to enough random members and acknowledged by a
// successor.
func (q *queue) announced(key string) bool {
	return q.byKey[key] == nil && q.relay.Acknowledged(func(each *item) bool { return each.key == key })
}

// addBroadcast queues a message of another subsystem.
func (q *queue) addBroadcast(broadcast *pb.News) {
	q.add(&item{key: broadcastKey(broadcast), broadcast: broadcast, size: broadcast.SizeVT() + entryOverhead})
}

func (q *queue) add(added *item) {
	q.relay.Add(added, time.Now())
	if old := q.byKey[added.key]; old != nil {
		old.superseded = true
	}
	q.byKey[added.key] = added
	if len(q.tiers) == 0 {
		q.tiers = make([][]*item, 1)
	}
	q.tiers[0] = append(q.tiers[0], added)
	for len(q.byKey) > maxQueued {
		q.dropMostSent()
	}
}

// dropMostSent drops the item that was sent most often.
func (q *queue) dropMostSent() {
	for tier := len(q.tiers) - 1; tier >= 0; tier-- {
		for len(q.tiers[tier]) > 0 {
			dropped := q.tiers[tier][0]
			q.tiers[tier] = q.tiers[tier][1:]
			if !dropped.superseded {
				delete(q.byKey, dropped.key)
				return
			}
		}
	}
}

// len returns the number of items for random members.
func (q *queue) len() int { return len(q.byKey) }

// clear drops all items.
func (q *queue) clear() {
	q.tiers = nil
	clear(q.byKey)
	q.relay.Clear()
}

// take returns items for one message, at most maxBytes in total, and drops those that have now been
// sent limit times.
func (q *queue) take(maxBytes, limit int) *pb.Gossip {
	if q.len() == 0 {
		return nil
	}
	gossip := &pb.Gossip{}
	var sent []*item
	var sentTiers []int
	for tier := range q.tiers {
		rest := q.tiers[tier][:0]
		for _, candidate := range q.tiers[tier] {
			switch {
			case candidate.superseded:
			case candidate.size > maxBytes:
				rest = append(rest, candidate)
			default:
				maxBytes -= candidate.size
				sent = append(sent, candidate)
				sentTiers = append(sentTiers, tier)
			}
		}
		clear(q.tiers[tier][len(rest):])
		q.tiers[tier] = rest
	}
	for number, taken := range sent {
		q.requeue(taken, sentTiers[number]+1, limit)
		taken.appendTo(gossip)
	}
	return gossip
}

// requeue puts an item back that was sent the given number of times, or drops it if it reached the
// limit.
func (q *queue) requeue(taken *item, times, limit int) {
	if times >= limit {
		delete(q.byKey, taken.key)
		return
	}
	for len(q.tiers) <= times {
		q.tiers = append(q.tiers, nil)
	}
	q.tiers[times] = append(q.tiers[times], taken)
}
