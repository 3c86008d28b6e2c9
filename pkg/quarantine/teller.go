package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quarantine/quarantinepb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// kindUpdates tells what a node has found out of requests under which servers ended.
const kindUpdates peer.Kind = "quarantine.news"

// Bounds and times of telling.
const (
	// mostTold bounds the nodes that one node tells, so that the connections to owners stay
	// open. Where there are more, those that hear news tell toldOn others each, by which all but
	// a few hear of it; the rest learns from the store.
	mostTold = 24
	toldOn   = 4
	// maxNews bounds the notes of one message, and maxWaiting those that wait for one: a crash
	// leaves as many as it had requests. Ends that find no room are told later, the rest by the store.
	maxNews    = 64
	maxWaiting = 1024
	// newsPause is the least time between two messages to the same nodes: what is found within
	// it goes in one.
	newsPause = 10 * time.Millisecond
	// newsTimeout bounds a message: several times the way to a far region and back. What is told
	// no node by then it learns from the store.
	newsTimeout = 400 * time.Millisecond
	// maxTelling bounds the messages under way, so that a silent node does not hold up the next.
	maxTelling = 8
	// greatestTrial is the greatest number of a trial that is taken: far more are never made
	// within the time for which a request is remembered.
	greatestTrial = 64
)

// Gossiper tells other nodes what a Guard finds out, and hears what they tell. It is safe for
// concurrent use.
type Gossiper struct {
	guard     *Guard
	transport peer.Transport
	// wake has an element while news waits; slots bounds the messages under way.
	wake  chan struct{}
	slots chan struct{}
	// told and heard count notes, and refused those that found no room to wait.
	told, heard, refused atomic.Uint64

	mutex sync.Mutex
	// others are the addresses of the other nodes, guarded by mutex.
	others []peer.Address
	// found waits to be told by this node, passed is what others told it; guarded by mutex.
	found, passed []Update
}

// NewGossiper registers the handler of what other nodes tell, and takes what the guard finds out.
func NewGossiper(guard *Guard, transport peer.Transport) *Gossiper {
	created := &Gossiper{guard: guard, transport: transport, wake: make(chan struct{}, 1), slots: make(chan struct{}, maxTelling)}
	guard.OnUpdate(created.put)
	transport.Handle(kindUpdates, created.take)
	return created
}

// SetNodes takes the addresses of all nodes.
func (t *Gossiper) SetNodes(nodes []peer.Address) {
	local := t.transport.Address()
	others := slices.DeleteFunc(slices.Clone(nodes), func(each peer.Address) bool { return each == local || each == "" })
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.others = others
}

// Counts returns how many notes were told and heard.
func (t *Gossiper) Counts() (told, heard uint64) { return t.told.Load(), t.heard.Load() }

// Refused returns how often a note found no room to wait until it is told.
func (t *Gossiper) Refused() uint64 { return t.refused.Load() }

// put keeps what this node has found out until Run tells it; false if too much waits.
func (t *Gossiper) put(news Update) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.signal()
	if len(t.found) >= maxWaiting {
		t.refused.Add(1)
		return false
	}
	t.found = append(t.found, news)
	return true
}

// pass keeps what another node told until Run passes it on, where that node could not tell all.
func (t *Gossiper) pass(news []Update) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.others) <= mostTold || len(news) == 0 {
		return
	}
	// What finds no room the others learn from the store.
	t.passed = append(t.passed, news[:min(len(news), maxWaiting-len(t.passed))]...)
	t.signal()
}

// signal tells Run that news waits.
func (t *Gossiper) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run tells what is found out, until ctx ends.
func (t *Gossiper) Run(ctx context.Context) error {
	var telling sync.WaitGroup
	defer telling.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.wake:
		}
		found, passed := t.next()
		t.spread(ctx, &telling, found, mostTold)
		t.spread(ctx, &telling, passed, toldOn)
		pause.For(ctx, newsPause)
	}
}

// next takes what is told with the next messages.
func (t *Gossiper) next() (found, passed []Update) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found, t.found = split(t.found)
	passed, t.passed = split(t.passed)
	if len(t.found)+len(t.passed) > 0 {
		t.signal()
	}
	return found, passed
}

// split cuts off as much as one message takes.
func split(waiting []Update) (taken, rest []Update) {
	count := min(len(waiting), maxNews)
	return waiting[:count:count], waiting[count:]
}

// spread tells up to a number of the other nodes, drawn anew each time.
func (t *Gossiper) spread(ctx context.Context, telling *sync.WaitGroup, news []Update, most int) {
	addresses := t.draw(most)
	if len(news) == 0 || len(addresses) == 0 {
		return
	}
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	t.told.Add(uint64(len(news)))
	message := encodeNews(news, time.Now())
	telling.Go(func() {
		defer func() { <-t.slots }()
		limited, cancel := context.WithTimeout(ctx, newsTimeout)
		defer cancel()
		// Nodes that do not take it learn from the store.
		peer.Spread(limited, t.transport, addresses, kindUpdates, message, func() proto.Message { return &quarantinepb.Taken{} })
	})
}

// draw returns some of the other nodes.
func (t *Gossiper) draw(most int) []peer.Address {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	drawn := make([]peer.Address, 0, min(most, len(t.others)))
	for _, index := range rand.Perm(len(t.others))[:cap(drawn)] {
		drawn = append(drawn, t.others[index])
	}
	return drawn
}

// take hears what another node tells, and passes on what is new here.
func (t *Gossiper) take(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	message := &quarantinepb.News{}
	if err := message.UnmarshalVT(body); err != nil {
		return nil, err
	}
	now := time.Now()
	var fresh []Update
	for _, each := range message.Notes[:min(len(message.Notes), maxNews)] {
		// A note that makes no sense here is passed over: a node of another version may tell more.
		news, isSound := decodeNews(each, now)
		if isSound && t.guard.ApplyUpdate(news, now) {
			fresh = append(fresh, news)
		}
	}
	t.heard.Add(uint64(len(fresh)))
	t.pass(fresh)
	return &quarantinepb.Taken{}, nil
}

// encodeNews returns the message of some news, with ages in the place of moments: clocks of nodes
// differ.
func encodeNews(news []Update, now time.Time) *quarantinepb.News {
	message := &quarantinepb.News{}
	for _, each := range news {
		note := each.Note
		message.Notes = append(message.Notes, &quarantinepb.Note{
			Fingerprint: note.Fingerprint[:], Server: note.Server.ID, Start: int64(note.Server.Start), Trial: uint32(note.Trial),
			IsGone: each.IsReleased, AgeMs: uint32(max(0, now.Sub(each.DetectedAt).Milliseconds())),
		})
	}
	return message
}

// decodeNews reads one note; false if it makes no sense.
func decodeNews(told *quarantinepb.Note, now time.Time) (Update, bool) {
	news := Update{
		Note:       Note{Server: fleet.Incarnation{ID: told.Server, Start: fleet.Start(told.Start)}, Trial: int(told.Trial)},
		IsReleased: told.IsGone, DetectedAt: now.Add(-time.Duration(told.AgeMs) * time.Millisecond),
	}
	if len(told.Fingerprint) != len(exchange.Fingerprint{}) || told.Trial > greatestTrial {
		return Update{}, false
	}
	copy(news.Note.Fingerprint[:], told.Fingerprint)
	return news, true
}
