package quota

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quota/quotapb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// kindVerdicts is the message by which a coordinator sends shares to all nodes.
const kindVerdicts peer.Kind = "quota.verdicts"

// Timing of verdicts.
const (
	// urgentShareRatio is the ratio to the share sent last below which a new share is sent at once
	// and not with the next repetition: until it arrives, nodes admit too much.
	urgentShareRatio = 0.8
	// urgentInterval is the minimum time between two messages to the same node, even while shares
	// keep falling.
	urgentInterval = 50 * time.Millisecond
	// releaseSpan is how long a share of 1 is still sent after a tenant is back within its limit:
	// several repetitions, so that every node in contact receives it.
	releaseSpan = 3 * verdictInterval
)

// broadcast sends the shares of the tenants at their limits to all nodes, if that is due. While
// another coordinator does not answer, and once after the start, it also sends a message without
// shares to detect which nodes are in contact.
func (l *Limiter) broadcast(ctx context.Context, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	verdicts, isUrgent := l.dueVerdicts(now)
	interval := verdictInterval
	if len(verdicts) == 0 {
		if !l.missesCoordinator() && !l.hasSentNoVerdicts() {
			return
		}
		interval = silentNodeInterval
	}
	if !l.isBroadcasting && (isUrgent && now.Sub(l.broadcastAt) >= urgentInterval || now.Sub(l.broadcastAt) >= interval) {
		l.isBroadcasting, l.broadcastAt = true, now
		for tenant, verdict := range verdicts {
			l.accounts[tenant].sentShare = verdict.Share
		}
		l.sendVerdicts(ctx, l.otherNodes(false), verdicts, &l.isBroadcasting)
	}
	if silent := l.otherNodes(true); len(silent) > 0 && !l.isProbingSilent && now.Sub(l.silentProbeAt) >= silentNodeInterval {
		l.isProbingSilent, l.silentProbeAt = true, now
		l.sendVerdicts(ctx, silent, verdicts, &l.isProbingSilent)
	}
}

// hasSentNoVerdicts reports whether this node coordinates limits and has sent no verdicts since its
// start. When the first ones arrive, nodes that report to a stand-in switch back to this node. The
// caller holds the mutex.
func (l *Limiter) hasSentNoVerdicts() bool {
	return l.messagesSent.Verdicts == 0 && len(l.addresses) > 1 && l.coordinates(l.options.Local) && l.options.KnowsTenants()
}

// dueVerdicts returns the verdicts on tenants at their limits, and whether one of them is much
// lower than the share sent last. The caller holds the mutex.
func (l *Limiter) dueVerdicts(now time.Time) (map[string]Verdict, bool) {
	verdicts, isUrgent := make(map[string]Verdict), false
	for tenant, entry := range l.accounts {
		if entry.limitedAt.IsZero() {
			continue
		}
		limit, isKnown := l.options.LimitOf(tenant)
		if !isKnown || !limit.IsBound() {
			l.options.Events.BelowLimit(tenant, entry.account.Stats(now), now.Sub(entry.limitedAt))
			delete(l.accounts, tenant)
			continue
		}
		entry.isFirst = l.isFirst(tenant)
		entry.account.SetLimit(limit)
		verdict := entry.account.Verdict(l.deploymentView(entry), now)
		l.trackLimit(tenant, entry, verdict, now)
		verdicts[tenant] = verdict
		isUrgent = isUrgent || verdict.Share < urgentShareRatio*entry.sentShare
		if !entry.withinLimitSince.IsZero() && now.Sub(entry.withinLimitSince) > releaseSpan {
			l.options.Events.BelowLimit(tenant, entry.account.Stats(now), now.Sub(entry.limitedAt))
			entry.limitedAt, entry.withinLimitSince, entry.sentShare = time.Time{}, time.Time{}, 1
		}
	}
	return verdicts, isUrgent
}

// otherNodes returns the other nodes that are silent, or those that are not. The caller holds the
// mutex.
func (l *Limiter) otherNodes(isSilent bool) map[peer.Address]string {
	nodes := make(map[peer.Address]string)
	for name, address := range l.addresses {
		if name != l.options.Local && l.silent[name] == isSilent {
			nodes[address] = name
		}
	}
	return nodes
}

// sendVerdicts sends verdicts to the given nodes and records which nodes accepted them. It clears
// isRunning when all calls have ended. The caller holds the mutex.
func (l *Limiter) sendVerdicts(ctx context.Context, nodes map[peer.Address]string, verdicts map[string]Verdict, isRunning *bool) {
	l.applyVerdicts(ctx, l.options.Local, verdicts, time.Now())
	if l.isStopped {
		return
	}
	l.messagesSent.Verdicts += uint64(len(nodes))
	message := encodeVerdicts(verdicts)
	addresses := make([]peer.Address, 0, len(nodes))
	for address := range nodes {
		addresses = append(addresses, address)
	}
	l.group.Go(func() {
		taken := l.sendAll(ctx, addresses, message)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		*isRunning = false
		if ctx.Err() != nil {
			return
		}
		for _, address := range taken {
			l.recordContact(nodes[address])
			delete(nodes, address)
		}
		for _, name := range nodes {
			if l.addresses[name] != "" {
				l.silent[name] = true
			}
		}
	})
}

// sendAll sends verdicts to all addresses in parallel and returns those that accepted them
// within callTimeout.
func (l *Limiter) sendAll(ctx context.Context, addresses []peer.Address, message *quotapb.Verdicts) []peer.Address {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peer.SpreadAll(callCtx, l.options.Transport, addresses, kindVerdicts, message, func() proto.Message { return &quotapb.Taken{} })
}

// applyVerdicts applies verdicts that do not answer a report. Only verdicts of the coordinator to
// which this node reports take effect. A verdict of another one of the tenant's coordinators is
// kept in case this node switches to it, and triggers a call to the present coordinator. The caller
// holds the mutex.
func (l *Limiter) applyVerdicts(ctx context.Context, from string, verdicts map[string]Verdict, now time.Time) {
	for tenant, verdict := range verdicts {
		entry := l.meters[tenant]
		if entry == nil {
			limit, isKnown := l.options.LimitOf(tenant)
			if !isKnown {
				continue
			}
			entry = l.meterFor(tenant, limit, now)
			entry.usedAt = now
		}
		if current := l.coordinator(entry.ranked); current == from {
			entry.meter.ApplyVerdict(verdict, now)
		} else if slices.Contains(entry.ranked, from) {
			entry.standInVerdict = receivedVerdict{from: from, verdict: verdict, at: now}
			l.checkCoordinator(ctx, current, now)
		}
	}
}

// handleVerdicts receives the verdicts of another node on the tenants that it coordinates.
func (l *Limiter) handleVerdicts(_ context.Context, from target.NodeID, body []byte) (proto.Message, error) {
	message := &quotapb.Verdicts{}
	if err := message.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode verdicts")
	}
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyVerdicts(l.context, string(from), decodeVerdicts(message), now)
	peerLink := l.links[string(from)]
	if peerLink == nil || peerLink.answers {
		return &quotapb.Taken{}, nil
	}
	// The coordinator reaches this node, so it may answer again.
	peerLink.nextProbe = now
	if !peerLink.hasFailed() {
		// The first call to it is still in progress, as after a start.
		return &quotapb.Taken{}, nil
	}
	return nil, errReportsElsewhere
}

// errReportsElsewhere answers a coordinator that reaches this node but is not reached by it, so
// that this node reports to a stand-in or is isolated. The coordinator must count this node as
// silent.
var errReportsElsewhere = errors.New("reports do not reach the coordinator, another one stands in for it")

// encodeVerdicts returns the message for verdicts. Only verdicts of first coordinators carry an
// extra rate.
func encodeVerdicts(verdicts map[string]Verdict) *quotapb.Verdicts {
	message := &quotapb.Verdicts{Verdicts: make([]*quotapb.Verdict, 0, len(verdicts))}
	for tenant, verdict := range verdicts {
		encoded := &quotapb.Verdict{Tenant: tenant, Share: verdict.Share, WaitMs: uint64(verdict.Wait.Milliseconds())}
		if verdict.IsFirst {
			encoded.Spare = proto.Float64(verdict.ExtraRate)
		}
		message.Verdicts = append(message.Verdicts, encoded)
	}
	return message
}

// decodeVerdicts reverses encodeVerdicts.
func decodeVerdicts(message *quotapb.Verdicts) map[string]Verdict {
	verdicts := make(map[string]Verdict, len(message.Verdicts))
	for _, verdict := range message.Verdicts {
		decoded := Verdict{Share: verdict.Share, Wait: time.Duration(verdict.WaitMs) * time.Millisecond}
		if verdict.Spare != nil {
			decoded.ExtraRate, decoded.IsFirst = *verdict.Spare, true
		}
		verdicts[verdict.Tenant] = decoded
	}
	return verdicts
}
