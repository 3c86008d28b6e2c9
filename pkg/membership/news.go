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
	// MaxBroadcastBytes bounds the payload of one message.
	MaxBroadcastBytes = 4096
	// rememberedNews is the number of messages by which repeats are known.
	rememberedNews = 4096
	// keptNews is the number of latest messages that are kept for members that
	// missed them, and keptNewsFor is how long.
	keptNews    = 64
	keptNewsFor = 30 * time.Second
)

// BroadcastHandler takes a message of another subsystem. It is called once for each
// message, from the goroutine that received it, and must not block.
type BroadcastHandler func(from target.NodeID, payload []byte)

// newsKey identifies a message.
func newsKey(news *pb.News) string { return fmt.Sprintf("news/%s/%d", news.Origin, news.Sequence) }

// newsLog remembers the latest messages, so that each is handed over once and
// can be given to members that missed it. It is not safe for concurrent use.
type newsLog struct {
	seen  map[string]struct{}
	order []string
	next  int
	// kept holds the messages of the last keptNewsFor, oldest first.
	kept []keptMessage
}

type keptMessage struct {
	news *pb.News
	hash uint64
	at   time.Time
}

func newNewsLog() *newsLog { return &newsLog{seen: make(map[string]struct{})} }

// add reports whether a message is new, and keeps it.
func (l *newsLog) add(news *pb.News, now time.Time) bool {
	key := newsKey(news)
	if _, ok := l.seen[key]; ok {
		return false
	}
	l.expire(now)
	if len(l.kept) == keptNews {
		l.kept = l.kept[1:]
	}
	l.kept = append(l.kept, keptMessage{news: news, hash: xxhash.Sum64String(key), at: now})
	l.remember(key)
	return true
}

// remember notes a key, and forgets the oldest one if there are too many.
func (l *newsLog) remember(key string) {
	l.seen[key] = struct{}{}
	if len(l.order) < rememberedNews {
		l.order = append(l.order, key)
		return
	}
	delete(l.seen, l.order[l.next])
	l.order[l.next] = key
	l.next = (l.next + 1) % rememberedNews
}

// expire drops the messages that are no longer kept.
func (l *newsLog) expire(now time.Time) {
	for len(l.kept) > 0 && now.Sub(l.kept[0].at) >= keptNewsFor {
		l.kept = l.kept[1:]
	}
}

// recent returns the hashes of the kept messages.
func (l *newsLog) recent(now time.Time) []uint64 {
	l.expire(now)
	hashes := make([]uint64, 0, len(l.kept))
	for _, message := range l.kept {
		hashes = append(hashes, message.hash)
	}
	return hashes
}

// missing returns the kept messages whose hashes are not among the given ones.
func (l *newsLog) missing(hashes []uint64, now time.Time) []*pb.News {
	l.expire(now)
	var missing []*pb.News
	for _, message := range l.kept {
		if !slices.Contains(hashes, message.hash) {
			missing = append(missing, message.news)
		}
	}
	return missing
}

// HandleBroadcast registers the handler of a kind of message. It must be called
// before Run.
func (m *Membership) HandleBroadcast(kind string, handler BroadcastHandler) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.newsHandlers[kind] = handler
}

// Broadcast sends a small message to every node of the zone. It returns at
// once; a node that is cut off at the time may miss the message, so what must
// arrive needs a comparison of state beside it. This node's own handler is not
// called.
func (m *Membership) Broadcast(kind string, payload []byte) error {
	if len(payload) > MaxBroadcastBytes {
		return errors.Errorf("broadcast %s: %d bytes exceed the limit of %d", kind, len(payload), MaxBroadcastBytes)
	}
	m.mutex.Lock()
	defer m.unlock()
	m.newsSequence++
	news := &pb.News{
		Origin:   string(m.options.Self.ID),
		Sequence: m.newsSequence,
		Kind:     kind,
		Payload:  append([]byte(nil), payload...),
	}
	m.news.add(news, time.Now())
	m.queue.addNews(news)
	return nil
}

// delivery is a message on its way to its handler.
type delivery struct {
	handler BroadcastHandler
	news    *pb.News
}

// receiveNews notes messages and returns those to hand over. The caller holds
// the mutex.
func (m *Membership) receiveNews(received []*pb.News, now time.Time) []delivery {
	var deliveries []delivery
	for _, news := range received {
		if news == nil || len(news.Payload) > MaxBroadcastBytes || !m.news.add(news, now) {
			continue
		}
		m.queue.addNews(news)
		if handler := m.newsHandlers[news.Kind]; handler != nil {
			deliveries = append(deliveries, delivery{handler: handler, news: news})
		}
	}
	return deliveries
}

// deliver hands messages over. The caller does not hold the mutex.
func (m *Membership) deliver(deliveries []delivery) {
	for _, each := range deliveries {
		each.handler(target.NodeID(each.news.Origin), each.news.Payload)
		m.counters.newsDelivered.Add(1)
	}
}
