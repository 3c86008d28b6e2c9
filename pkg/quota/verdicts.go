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

// kindVerdicts is the message by which a coordinator tells all nodes a share.
const kindVerdicts peer.Kind = "quota.verdicts"

// When coordinators tell shares.
const (
	// fallingShare is the part of the share told last below which a new one is told at once rather
	// than with the next repetition: until then nodes admit too much.
	fallingShare = 0.8
	// urgentInterval is the least time between two messages to the same node, also if shares keep
	// falling.
	urgentInterval = 50 * time.Millisecond
	// releaseSpan is for how long a share of 1 is still told after a tenant has come back within its
	// limit: several repetitions, so that every node that is in touch learns of it.
	releaseSpan = 3 * repeatInterval
)

// spread tells all nodes the shares of the tenants at their limits, if that is due. While another
// coordinator does not answer, and once after its start, it also sends a message without shares, to
// learn which nodes are in touch.
func (l *Limiter) spread(ctx context.Context, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	verdicts, isUrgent := l.dueVerdicts(now)
	interval := repeatInterval
	if len(verdicts) == 0 {
		if !l.missesCoordinator() && !l.isUntold() {
			return
		}
		interval = silentInterval
	}
	if !l.spreading && (isUrgent && now.Sub(l.spreadAt) >= urgentInterval || now.Sub(l.spreadAt) >= interval) {
		l.spreading, l.spreadAt = true, now
		for tenant, verdict := range verdicts {
			l.accounts[tenant].told = verdict.Share
		}
		l.tell(ctx, l.others(false), verdicts, &l.spreading)
	}
	if silent := l.others(true); len(silent) > 0 && !l.probing && now.Sub(l.probeAt) >= silentInterval {
		l.probing, l.probeAt = true, now
		l.tell(ctx, silent, verdicts, &l.probing)
	}
}

// isUntold reports whether this node coordinates limits and has sent the others no verdicts since its
// start: on the first ones, nodes that report to a stand-in turn back to it. The caller holds the mutex.
func (l *Limiter) isUntold() bool {
	return l.sent.Verdicts == 0 && len(l.addresses) > 1 && l.coordinates(l.options.Local) && l.options.KnowsTenants()
}

// dueVerdicts returns the verdicts on tenants at their limits, and whether one is much lower than what
// was told. The caller holds the mutex.
func (l *Limiter) dueVerdicts(now time.Time) (map[string]Verdict, bool) {
	verdicts, isUrgent := make(map[string]Verdict), false
	for tenant, kept := range l.accounts {
		if kept.limitedAt.IsZero() {
			continue
		}
		limit, isKnown := l.options.LimitOf(tenant)
		if !isKnown || !limit.IsBound() {
			l.options.Events.BelowLimit(tenant, kept.account.Stats(now), now.Sub(kept.limitedAt))
			delete(l.accounts, tenant)
			continue
		}
		kept.isFirst = l.isFirst(tenant)
		kept.account.SetLimit(limit)
		verdict := kept.account.Verdict(l.contact(kept), now)
		l.noteLimit(tenant, kept, verdict, now)
		verdicts[tenant] = verdict
		isUrgent = isUrgent || verdict.Share < fallingShare*kept.told
		if !kept.fullAt.IsZero() && now.Sub(kept.fullAt) > releaseSpan {
			l.options.Events.BelowLimit(tenant, kept.account.Stats(now), now.Sub(kept.limitedAt))
			kept.limitedAt, kept.fullAt, kept.told = time.Time{}, time.Time{}, 1
		}
	}
	return verdicts, isUrgent
}

// others returns the other nodes that are silent, or those that are not. The caller holds the
// mutex.
func (l *Limiter) others(isSilent bool) map[peer.Address]string {
	found := make(map[peer.Address]string)
	for name, address := range l.addresses {
		if name != l.options.Local && l.silent[name] == isSilent {
			found[address] = name
		}
	}
	return found
}

// tell sends verdicts to some nodes and notes which of them took them; it clears underWay when all
// calls have ended. The caller holds the mutex.
func (l *Limiter) tell(ctx context.Context, nodes map[peer.Address]string, verdicts map[string]Verdict, underWay *bool) {
	l.takeTold(ctx, l.options.Local, verdicts, time.Now())
	if l.isStopped {
		return
	}
	l.sent.Verdicts += uint64(len(nodes))
	message := encodeVerdicts(verdicts)
	addresses := make([]peer.Address, 0, len(nodes))
	for address := range nodes {
		addresses = append(addresses, address)
	}
	l.group.Go(func() {
		taken := l.sendAll(ctx, addresses, message)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		*underWay = false
		if ctx.Err() != nil {
			return
		}
		for _, address := range taken {
			l.noteContact(nodes[address])
			delete(nodes, address)
		}
		for _, name := range nodes {
			if l.addresses[name] != "" {
				l.silent[name] = true
			}
		}
	})
}

// sendAll sends verdicts to some addresses at once and returns those that took them within callTimeout.
func (l *Limiter) sendAll(ctx context.Context, addresses []peer.Address, message *quotapb.Verdicts) []peer.Address {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peer.SpreadAll(limited, l.options.Transport, addresses, kindVerdicts, message, func() proto.Message { return &quotapb.Taken{} })
}

// takeTold takes verdicts that do not answer a report. Only those of the coordinator to which this node
// reports count; those of another one of the tenant's coordinators are kept, in case that this node turns
// to it, and lead to a call to the present one. The caller holds the mutex.
func (l *Limiter) takeTold(ctx context.Context, from string, verdicts map[string]Verdict, now time.Time) {
	for tenant, verdict := range verdicts {
		held := l.meters[tenant]
		if held == nil {
			limit, isKnown := l.options.LimitOf(tenant)
			if !isKnown {
				continue
			}
			held = l.metered(tenant, limit, now)
			held.usedAt = now
		}
		if current := l.coordinator(held.ranked); current == from {
			held.meter.ApplyVerdict(verdict, now)
		} else if slices.Contains(held.ranked, from) {
			held.standIn = hint{from: from, verdict: verdict, at: now}
			l.checkCoordinator(ctx, current, now)
		}
	}
}

// takeVerdicts takes what another node tells about the tenants that it coordinates.
func (l *Limiter) takeVerdicts(_ context.Context, from target.NodeID, body []byte) (proto.Message, error) {
	message := &quotapb.Verdicts{}
	if err := message.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode verdicts")
	}
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.takeTold(l.context, string(from), decodeVerdicts(message), now)
	found := l.links[string(from)]
	if found == nil || found.answers {
		return &quotapb.Taken{}, nil
	}
	// The coordinator reaches this node, so that it may answer again.
	found.nextProbe = now
	if !found.hasFailed() {
		// The first call to it is still under way, as after a start.
		return &quotapb.Taken{}, nil
	}
	return nil, errTurnedElsewhere
}

// errTurnedElsewhere answers a coordinator that reaches this node while this node does not reach
// it, and so reports to a stand-in or decides alone: for the coordinator the node is out of touch.
var errTurnedElsewhere = errors.New("reports do not reach the coordinator, another one stands in for it")

// encodeVerdicts returns the message for verdicts; only those of first coordinators carry a spare
// rate.
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
