package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// departureTimeout bounds the time to notify one member that this node has stopped.
	departureTimeout = time.Second
	// departureFanout is the number of members of this zone that are notified.
	departureFanout = 5
	// leavePoll is the time between two checks whether the announcement has been sent often enough.
	leavePoll = 50 * time.Millisecond
)

// Leave announces that this node is about to stop, so that peers list it as leaving. It returns
// when the announcement has been sent to enough members and one of them has acknowledged it, or
// with the error of ctx. The node continues to answer its peers until Run ends.
func (m *Membership) Leave(ctx context.Context) error {
	m.mutex.Lock()
	if m.table.self.member.State != Leaving {
		m.declare(Leaving, m.table.self.member.Incarnation+1)
	}
	m.unlock()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for m.announcing() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// whileRunning rejects requests after Run has ended, so that a process that is about to exit does
// not appear alive.
func (m *Membership) whileRunning(handler peer.Handler) peer.Handler {
	return func(ctx context.Context, from target.NodeID, body []byte) (proto.Message, error) {
		if m.stopped.Load() {
			return nil, &outcome.Error{
				Step:    "answer peer",
				Peer:    string(from),
				Outcome: outcome.NotRun,
				Reason:  outcome.ReasonDraining,
			}
		}
		return handler(ctx, from, body)
	}
}

// showsRunning reports whether the error of a failed call shows that the peer's membership is
// running.
func showsRunning(err error) bool {
	return peer.IsRemote(err) && outcome.ReasonOf(err) != outcome.ReasonDraining
}

// oneOfEachZone returns one random known member of each other zone. The caller holds the mutex.
func (m *Membership) oneOfEachZone() []Member {
	var chosen []Member
	for _, zone := range m.table.zones() {
		known := m.table.ranked(zone)
		if zone != m.options.Self.Zone && len(known) > 0 {
			chosen = append(chosen, known[m.random.IntN(len(known))].member)
		}
	}
	return chosen
}

// announcing reports whether this node's own entry has yet to be announced.
func (m *Membership) announcing() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.table.others) > 0 && !m.queue.announced(entryKey(string(m.options.Self.ID)))
}

// announceDeparture notifies some members of this zone and one of each other zone that this node
// has stopped, if it was leaving.
func (m *Membership) announceDeparture() {
	m.mutex.Lock()
	self := m.table.self
	leaving := self.member.State == Leaving
	chosen := append(m.randomOthers(departureFanout, ""), m.oneOfEachZone()...)
	departure := &pb.Entry{Id: string(self.member.ID), State: pb.State_STATE_LEFT, Incarnation: self.member.Incarnation}
	m.mutex.Unlock()
	if !leaving {
		return
	}
	for _, member := range chosen {
		m.start(func() { m.ping(context.Background(), member, departureTimeout, []*pb.Entry{departure}) })
	}
}
