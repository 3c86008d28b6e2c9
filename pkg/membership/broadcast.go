package membership

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// MaxBroadcastBytes bounds the payload of one broadcast message.
	MaxBroadcastBytes = 4096
	// maxSeenBroadcasts is the number of message keys that are remembered to detect duplicates.
	maxSeenBroadcasts = 4096
	// maxKeptBroadcasts is the number of latest messages that are kept for members that missed
	// them, and broadcastRetention is how long they are kept.
	maxKeptBroadcasts  = 64
	broadcastRetention = 30 * time.Second
)

// BroadcastHandler receives a message of another subsystem. It is called once for each message,
// from the goroutine that received it, and must not block.
type BroadcastHandler func(from target.NodeID, payload []byte)

// broadcastKey returns the key that identifies a message.
func broadcastKey(broadcast *pb.News) string {
	return fmt.Sprintf("news/%s/%d", broadcast.Origin, broadcast.Sequence)
}

// broadcastLog remembers the latest messages, so that each is delivered once and can be sent to
// members that missed it. It is not safe for concurrent use.
type broadcastLog struct {
	seen      map[string]struct{}
	seenOrder []string
	next      int
	// kept holds the messages of the last broadcastRetention, oldest first.
	kept []keptBroadcast
}

type keptBroadcast struct {
	broadcast  *pb.News
	hash       uint64
	receivedAt time.Time
}

func newBroadcastLog() *broadcastLog { return &broadcastLog{seen: make(map[string]struct{})} }

// add records a message and reports whether it is new.
func (l *broadcastLog) add(broadcast *pb.News, now time.Time) bool {
	key := broadcastKey(broadcast)
	if _, ok := l.seen[key]; ok {
		return false
	}
	l.expire(now)
	if len(l.kept) == maxKeptBroadcasts {
		l.kept = l.kept[1:]
	}
	l.kept = append(l.kept, keptBroadcast{broadcast: broadcast, hash: xxhash.Sum64String(key), receivedAt: now})
	l.remember(key)
	return true
}

// remember records a key, and forgets the oldest one once there are maxSeenBroadcasts.
func (l *broadcastLog) remember(key string) {
	l.seen[key] = struct{}{}
	if len(l.seenOrder) < maxSeenBroadcasts {
		l.seenOrder = append(l.seenOrder, key)
		return
	}
	delete(l.seen, l.seenOrder[l.next])
	l.seenOrder[l.next] = key
	l.next = (l.next + 1) % maxSeenBroadcasts
}

// expire drops the messages that are older than broadcastRetention.
func (l *broadcastLog) expire(now time.Time) {
	for len(l.kept) > 0 && now.Sub(l.kept[0].receivedAt) >= broadcastRetention {
		l.kept = l.kept[1:]
	}
}

// recent returns the hashes of the kept messages.
func (l *broadcastLog) recent(now time.Time) []uint64 {
	l.expire(now)
	hashes := make([]uint64, 0, len(l.kept))
	for _, message := range l.kept {
		hashes = append(hashes, message.hash)
	}
	return hashes
}

// missing returns the kept messages whose hashes are not among the given ones.
func (l *broadcastLog) missing(hashes []uint64, now time.Time) []*pb.News {
	l.expire(now)
	var missing []*pb.News
	for _, message := range l.kept {
		if !slices.Contains(hashes, message.hash) {
			missing = append(missing, message.broadcast)
		}
	}
	return missing
}

// HandleBroadcast registers the handler for a kind of message. It must be called before Run.
func (m *Membership) HandleBroadcast(kind string, handler BroadcastHandler) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.broadcastHandlers[kind] = handler
}

// Broadcast sends a small message to every node of the zone and returns at once. A node that is cut
// off at the time may miss the message, so state that must arrive also needs a periodic comparison.
// This node's own handler is not called. It returns an error if the payload exceeds
// MaxBroadcastBytes.
func (m *Membership) Broadcast(kind string, payload []byte) error {
	if len(payload) > MaxBroadcastBytes {
		return errors.Errorf("broadcast %s: %d bytes exceed the limit of %d", kind, len(payload), MaxBroadcastBytes)
	}
	m.mutex.Lock()
	defer m.unlock()
	m.broadcastSequence++
	broadcast := &pb.News{
		Origin:   string(m.options.Self.ID),
		Sequence: m.broadcastSequence,
		Kind:     kind,
		Payload:  append([]byte(nil), payload...),
	}
	m.broadcasts.add(broadcast, time.Now())
	m.queue.addBroadcast(broadcast)
	return nil
}

// delivery is a message to be passed to its handler.
type delivery struct {
	handler   BroadcastHandler
	broadcast *pb.News
}

// receiveBroadcasts records messages, queues new ones as gossip and returns those to deliver. The
// caller holds the mutex.
func (m *Membership) receiveBroadcasts(received []*pb.News, now time.Time) []delivery {
	var deliveries []delivery
	for _, broadcast := range received {
		if broadcast == nil || len(broadcast.Payload) > MaxBroadcastBytes || !m.broadcasts.add(broadcast, now) {
			continue
		}
		m.queue.addBroadcast(broadcast)
		if handler := m.broadcastHandlers[broadcast.Kind]; handler != nil {
			deliveries = append(deliveries, delivery{handler: handler, broadcast: broadcast})
		}
	}
	return deliveries
}

// deliver passes messages to their handlers. The caller does not hold the mutex.
func (m *Membership) deliver(deliveries []delivery) {
	for _, each := range deliveries {
		each.handler(target.NodeID(each.broadcast.Origin), each.broadcast.Payload)
		m.counters.broadcastsDelivered.Add(1)
	}
}
