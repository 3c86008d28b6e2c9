package quota

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quota/quotapb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// kindReport is the message by which a node reports to a coordinator.
const kindReport peer.Kind = "quota.report"

// usedMuchTold is the number of tenants of which an answer to an empty report tells: every node sends one
// every half second or so, and the accounts are locked while it is answered. Which ones varies.
const usedMuchTold = 16

// report tells each coordinator what is new for it.
func (l *Limiter) report(ctx context.Context, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	uses := make(map[string]map[string]Usage)
	for tenant, held := range l.meters {
		name := l.coordinator(held.ranked)
		if name == "" || l.links[name].calling {
			// What is not told now is told by the next report: at the end of the call, or
			// when a coordinator answers.
			continue
		}
		use, isNew := held.meter.Report(l.options.Incarnation, now)
		if !isNew {
			continue
		}
		if uses[name] == nil {
			uses[name] = make(map[string]Usage)
		}
		uses[name][tenant] = use
	}
	for name, told := range uses {
		if name == l.options.Local {
			l.acknowledge(told, l.take(name, told, now), now)
			continue
		}
		l.call(ctx, name, encodeReport(l.options.Incarnation, told), told)
	}
}

// call sends a report to a coordinator and takes the answer; told is what the report holds, empty if it
// only asks whether the coordinator answers. The caller holds the mutex.
func (l *Limiter) call(ctx context.Context, name string, message *quotapb.Report, told map[string]Usage) {
	if l.isStopped {
		return
	}
	address := l.addresses[name]
	l.links[name].calling, l.links[name].calledAt = true, time.Now()
	l.sent.Reports++
	l.group.Go(func() {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		answer := &quotapb.Verdicts{}
		err := l.options.Transport.Call(limited, address, kindReport, message, answer)
		if ctx.Err() != nil {
			// The call ended because this node stops: it tells nothing of the coordinator.
			return
		}
		now := time.Now()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.noteAnswer(name, err, now)
		if err == nil && len(told) > 0 {
			l.acknowledge(told, decodeVerdicts(answer), now)
		} else if err == nil {
			l.takeTold(ctx, name, decodeVerdicts(answer), now)
		}
		// Requests may have come while the call was under way, also while it only asked whether
		// the coordinator answers.
		l.requestReport()
	})
}

// acknowledge takes the answer to a report. The caller holds the mutex.
func (l *Limiter) acknowledge(told map[string]Usage, verdicts map[string]Verdict, now time.Time) {
	for tenant, use := range told {
		held := l.meters[tenant]
		verdict, isAnswered := verdicts[tenant]
		if held != nil && isAnswered {
			held.meter.Acknowledge(use, verdict, now)
		}
	}
}

// takeReport answers the report of another node.
func (l *Limiter) takeReport(_ context.Context, from target.NodeID, body []byte) (proto.Message, error) {
	message := &quotapb.Report{}
	if err := message.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	if !l.options.KnowsTenants() {
		return nil, errNoLimitsKnown
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.noteContact(string(from))
	l.heardAt = time.Now()
	l.noteHeard(l.heardAt)
	if len(message.Uses) == 0 {
		return encodeVerdicts(l.usedMuch(l.heardAt)), nil
	}
	return encodeVerdicts(l.take(string(from), decodeUses(message), l.heardAt)), nil
}

// errNoLimitsKnown answers a node that takes this one for a coordinator: it has just started, or its
// configuration has no tenants, so that it would tell a share of 1 whatever is asked.
var errNoLimitsKnown = errors.New("no configuration with tenants is known here")

// usedMuch returns the verdicts on some tenants that use much of their limits, for a node that asks
// whether this one answers. The caller holds the mutex.
func (l *Limiter) usedMuch(now time.Time) map[string]Verdict {
	verdicts := make(map[string]Verdict)
	for tenant, kept := range l.accounts {
		if len(verdicts) < usedMuchTold && l.isFirst(tenant) && kept.account.isUsedMuch(now) {
			kept.isFirst = true
			verdicts[tenant] = kept.account.Verdict(l.contact(kept), now)
		}
	}
	return verdicts
}

// noteContact notes that a node is in touch. The caller holds the mutex.
func (l *Limiter) noteContact(name string) {
	delete(l.silent, name)
	delete(l.gone, name)
}

// take counts the report of a node and returns the verdicts on its tenants. The caller holds
// the mutex.
func (l *Limiter) take(from string, uses map[string]Usage, now time.Time) map[string]Verdict {
	verdicts := make(map[string]Verdict, len(uses))
	for tenant, use := range uses {
		limit, isKnown := l.options.LimitOf(tenant)
		if !isKnown || !limit.IsBound() {
			// The reporting node has another configuration, and holds the tenant to the limit in that.
			verdicts[tenant] = Verdict{Share: 1}
			continue
		}
		kept := l.accounts[tenant]
		isFirst := l.isFirst(tenant)
		if kept == nil {
			since := now
			if isFirst {
				since = l.coordinatorsSince
			}
			kept = &coordinated{account: NewAccount(limit, l.options.Bounds, since, now), told: 1}
			if now.Sub(l.startedAt) < l.options.Bounds.Window {
				kept.account.SetProcessStart(l.startedAt)
			}
			l.accounts[tenant] = kept
		}
		kept.isFirst = isFirst
		contact := l.contact(kept)
		kept.account.SetLimit(limit)
		kept.account.AddReport(from, use, contact, now)
		verdicts[tenant] = kept.account.Verdict(contact, now)
		l.noteLimit(tenant, kept, verdicts[tenant], now)
		if verdicts[tenant].Share < fallingShare*kept.told {
			signal(l.urgent)
		}
	}
	return verdicts
}

// isFirst reports whether this node is the first coordinator of a tenant. The caller holds the
// mutex.
func (l *Limiter) isFirst(tenant string) bool {
	top := l.coordinators.Top(tenant, 1)
	return len(top) > 0 && top[0] == l.options.Local
}

// contact returns what this node knows of the others. The caller holds the mutex.
func (l *Limiter) contact(kept *coordinated) DeploymentView {
	return DeploymentView{IsFirst: kept.isFirst, IsSettling: l.isSettling(time.Now()), Nodes: l.nodeCount() + len(l.gone), Silent: l.silent}
}

// noteLimit follows whether a tenant is at its limit, and tells when it has come to it. The caller holds the mutex.
func (l *Limiter) noteLimit(tenant string, kept *coordinated, verdict Verdict, now time.Time) {
	if verdict.Share < 1 {
		kept.fullAt = time.Time{}
		if kept.limitedAt.IsZero() {
			kept.limitedAt = now
			l.options.Events.AtLimit(tenant, verdict, kept.account.Stats(now))
		}
		return
	}
	if !kept.limitedAt.IsZero() && kept.fullAt.IsZero() {
		kept.fullAt = now
	}
}

// encodeReport returns the message for what a node had of its tenants.
func encodeReport(start uint64, uses map[string]Usage) *quotapb.Report {
	message := &quotapb.Report{Start: start, Uses: make([]*quotapb.Use, 0, len(uses))}
	for tenant, use := range uses {
		message.Uses = append(message.Uses, &quotapb.Use{
			Tenant: tenant, Asked: use.Requests, Admitted: use.Admitted, NewAsked: use.NewRequests, NewAdmitted: use.NewAdmitted,
			Recent: use.RecentRate, Entitled: use.EntitledRate, Share: use.Share,
		})
	}
	return message
}

// decodeUses reverses encodeReport.
func decodeUses(message *quotapb.Report) map[string]Usage {
	uses := make(map[string]Usage, len(message.Uses))
	for _, use := range message.Uses {
		uses[use.Tenant] = Usage{
			Incarnation: message.Start, Requests: use.Asked, Admitted: use.Admitted, NewRequests: use.NewAsked, NewAdmitted: use.NewAdmitted,
			RecentRate: use.Recent, EntitledRate: use.Entitled, Share: use.Share,
		}
	}
	return uses
}
