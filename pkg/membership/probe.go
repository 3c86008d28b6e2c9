package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// indirectTimeoutFactor is how long a node waits for a helper's answer, as a multiple of the
	// helper's own probe time-out.
	indirectTimeoutFactor = 2
	// maxGossipBytes bounds the queued gossip in one message.
	maxGossipBytes = 8192
)

// startProbe probes the next member in a separate goroutine.
func (m *Membership) startProbe(ctx context.Context) {
	m.mutex.Lock()
	probed, ok := m.nextToProbe()
	timeout := m.health.stretch(m.options.Timing.ProbeTimeout)
	m.mutex.Unlock()
	if !ok {
		return
	}
	m.start(func() { m.probe(ctx, probed, timeout) })
}

// nextToProbe returns the next member to probe. Each round covers all members in random order,
// which bounds the time until any member is probed. The caller holds the mutex.
func (m *Membership) nextToProbe() (Member, bool) {
	if probed, ok := m.nextInRound(); ok {
		return probed, true
	}
	m.probeRound = m.probeRound[:0]
	for _, other := range m.table.others {
		m.probeRound = append(m.probeRound, other.member.ID)
	}
	m.random.Shuffle(len(m.probeRound), func(i, j int) { m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i] })
	return m.nextInRound()
}

func (m *Membership) nextInRound() (Member, bool) {
	for len(m.probeRound) > 0 {
		last := len(m.probeRound) - 1
		probed := m.table.records[m.probeRound[last]]
		m.probeRound = m.probeRound[:last]
		if probed != nil && probed.member.State != Dead {
			return probed.member, true
		}
	}
	return Member{}, false
}

// probe checks whether a member is alive, and suspects it if it cannot be reached directly or
// through helpers.
func (m *Membership) probe(ctx context.Context, probed Member, timeout time.Duration) {
	m.counters.probes.Add(1)
	switch result := m.reach(ctx, probed, timeout); result {
	case reached:
		m.probeAnswered()
	case unreachable, noHelperAnswered:
		m.counters.failedProbes.Add(1)
		m.accuse(probed, result == unreachable)
	}
}

// reachResult is the result of an attempt to reach a member.
type reachResult int

const (
	// inconclusive means that the attempt was cancelled, or took so long that this process itself
	// must have been paused.
	inconclusive reachResult = iota
	reached
	unreachable
	// noHelperAnswered means that neither the member nor any helper answered, so this node itself
	// may be cut off.
	noHelperAnswered
)

// reach tries to get an answer from a member, first directly, then through helpers. The result is
// inconclusive if that took longer than the time-outs allow.
func (m *Membership) reach(ctx context.Context, probed Member, timeout time.Duration) reachResult {
	started := time.Now()
	if m.probeDirect(ctx, probed, timeout) {
		return reached
	}
	if ctx.Err() != nil {
		return inconclusive
	}
	acked, helperAnswered := m.probeThroughOthers(ctx, probed, timeout)
	limit := timeout*(1+indirectTimeoutFactor) + m.options.Timing.PauseLimit
	switch {
	case ctx.Err() != nil || time.Since(started) > limit:
		return inconclusive
	case acked:
		return reached
	case helperAnswered:
		return unreachable
	default:
		return noHelperAnswered
	}
}

// finalProbes returns the tasks that probe, for the last time, the suspected members whose time to
// refute is over. A node that missed a refutation learns it from the answer, so that it never
// removes a member that it can reach. The caller holds the mutex.
func (m *Membership) finalProbes(now time.Time) []func(ctx context.Context) {
	timeout := m.health.stretch(m.options.Timing.ProbeTimeout)
	var work []func(ctx context.Context)
	for _, r := range m.table.expired(now, m.options.Timing.ProbePeriod) {
		r.finalProbeRunning = true
		work = append(work, func(ctx context.Context) {
			m.start(func() { m.finalProbe(ctx, r, timeout) })
		})
	}
	return work
}

// finalProbe removes a suspected member that cannot be reached.
func (m *Membership) finalProbe(ctx context.Context, r *record, timeout time.Duration) {
	m.mutex.Lock()
	checked := r.member
	m.mutex.Unlock()
	result := m.reach(ctx, checked, timeout)
	now := time.Now()
	m.mutex.Lock()
	defer m.unlock()
	m.detectPause(now)
	r.finalProbeRunning = false
	current := m.table.records[checked.ID] == r && r.suspicion != nil && r.member.Incarnation == checked.Incarnation
	if m.stale || !current || result == inconclusive {
		return
	}
	if result == reached {
		r.suspicion.since = now
		return
	}
	m.table.markDead(r, checked.Incarnation, false, now)
	m.queue.addEntry(entryOf(r))
	m.counters.removed.Add(1)
	m.logger.Info("member removed", "member", checked.ID, "address", checked.Address)
}

// probeDirect pings the member and reports whether its address answered. If another process
// answered, the probed member is removed.
func (m *Membership) probeDirect(ctx context.Context, probed Member, timeout time.Duration) bool {
	ack, err := m.ping(ctx, probed, timeout, nil)
	if err != nil {
		return showsRunning(err)
	}
	if target.NodeID(ack.Id) != probed.ID {
		m.removeReplaced(probed)
	}
	return true
}

// probeAnswered improves this node's health score.
func (m *Membership) probeAnswered() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.health.improve()
}

// probeThroughOthers asks helpers to probe a member. The result helperAnswered reports whether any
// helper answered at all; it is also true if there is no helper to ask.
func (m *Membership) probeThroughOthers(ctx context.Context, probed Member, timeout time.Duration) (acked, helperAnswered bool) {
	m.mutex.Lock()
	helpers := m.randomOthers(m.options.IndirectProbes, probed.ID)
	m.mutex.Unlock()
	if len(helpers) == 0 {
		return false, true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout*indirectTimeoutFactor)
	defer cancel()
	replies := make(chan *pb.ProbeReply, len(helpers))
	for _, helper := range helpers {
		if !m.start(func() { replies <- m.askHelper(ctx, helper, probed) }) {
			replies <- nil
		}
	}
	for range helpers {
		reply := <-replies
		helperAnswered = helperAnswered || reply != nil
		if reply.GetAcked() {
			return true, true
		}
	}
	return false, helperAnswered
}

// askHelper asks a helper to probe a member. It returns the helper's reply, or nil if it did not
// answer.
func (m *Membership) askHelper(ctx context.Context, helper, probed Member) *pb.ProbeReply {
	request := &pb.ProbeRequest{
		Target:  string(probed.ID),
		Address: string(probed.Address),
		Gossip:  m.takeGossip(),
	}
	reply := &pb.ProbeReply{}
	if err := m.options.Transport.Call(ctx, helper.Address, kindProbe, request, reply); err != nil {
		return nil
	}
	m.receive(reply.Gossip)
	return reply
}

// accuse suspects a member that could not be reached. A leaving member is removed at once, because
// it announced its stop.
func (m *Membership) accuse(probed Member, helperAnswered bool) {
	now := time.Now()
	m.mutex.Lock()
	defer m.unlock()
	m.detectPause(now)
	if !helperAnswered {
		m.health.degrade(1)
	}
	known := m.table.records[probed.ID]
	if m.stale || known == nil || known.member.Incarnation != probed.Incarnation {
		return
	}
	if known.member.State == Leaving {
		if m.table.markDead(known, probed.Incarnation, false, now) {
			m.queue.addEntry(entryOf(known))
		}
		return
	}
	first := known.suspicion == nil
	if !m.table.suspect(known, probed.Incarnation, m.options.Self.ID, now) {
		return
	}
	m.queue.addEntry(accusationOf(known, m.options.Self.ID))
	if first {
		m.counters.suspicions.Add(1)
		m.logger.Debug("member suspected", "member", probed.ID, "address", probed.Address)
	}
}

// removeReplaced removes a member whose address is now served by another process.
func (m *Membership) removeReplaced(probed Member) {
	m.mutex.Lock()
	defer m.unlock()
	known := m.table.records[probed.ID]
	if known != nil && m.table.markDead(known, known.member.Incarnation, true, time.Now()) {
		m.queue.addEntry(entryOf(known))
	}
}

// ping sends one ping with gossip, and with additional entries if given, and applies the gossip in
// the ack.
func (m *Membership) ping(ctx context.Context, pinged Member, timeout time.Duration, entries []*pb.Entry) (*pb.Ack, error) {
	ack, accused, err := m.pingWith(ctx, pinged, timeout, m.gossipFor(pinged.ID, entries))
	if err == nil && len(entries) == 0 && (accused || ack.SenderUnknown) {
		m.introduce(pinged)
	}
	return ack, err
}

// pingWith sends one ping with the given gossip and applies the gossip in the ack. It also reports
// whether the ack accused this node.
func (m *Membership) pingWith(ctx context.Context, pinged Member, timeout time.Duration, gossip *pb.Gossip) (ack *pb.Ack, accused bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &pb.Ping{Target: string(pinged.ID), Gossip: gossip}
	ack = &pb.Ack{}
	if err := m.options.Transport.Call(ctx, pinged.Address, kindPing, request, ack); err != nil {
		return nil, false, err
	}
	accused = m.receive(ack.Gossip)
	if ack.Self != nil {
		m.receive(&pb.Gossip{Entries: []*pb.Entry{ack.Self}})
	}
	return ack, accused, nil
}

// introduce sends this node's own entry to a member.
func (m *Membership) introduce(to Member) {
	m.mutex.Lock()
	self := entryOf(m.table.self)
	timeout := m.options.Timing.ProbeTimeout
	m.mutex.Unlock()
	m.start(func() { m.ping(context.Background(), to, timeout, []*pb.Entry{self}) })
}

// handlePing answers a ping.
func (m *Membership) handlePing(_ context.Context, from target.NodeID, body []byte) (proto.Message, error) {
	request := &pb.Ping{}
	if err := request.UnmarshalVT(body); err != nil {
		return nil, err
	}
	accused := m.receive(request.Gossip)
	ack := &pb.Ack{Id: string(m.options.Self.ID), Gossip: m.gossipInAck(from, request.Gossip)}
	m.mutex.Lock()
	defer m.unlock()
	ack.SenderUnknown = m.table.records[from] == nil
	if accused {
		ack.Self = entryOf(m.table.self)
	}
	return ack, nil
}

// handleProbe pings a member on behalf of another one.
func (m *Membership) handleProbe(ctx context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	request := &pb.ProbeRequest{}
	if err := request.UnmarshalVT(body); err != nil {
		return nil, err
	}
	m.receive(request.Gossip)
	probed := Member{ID: target.NodeID(request.Target), Address: peer.Address(request.Address)}
	ack, err := m.ping(ctx, probed, m.options.Timing.ProbeTimeout, nil)
	acked := showsRunning(err) || (err == nil && ack.Id == request.Target)
	return &pb.ProbeReply{Acked: acked, Gossip: m.takeGossip()}, nil
}
