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

// maxHighUsageVerdicts is the maximum number of tenants in the answer to an empty report. It is
// small because every node sends such a report about every half second, and the accounts are locked
// while it is answered. Which tenants are included varies.
const maxHighUsageVerdicts = 16

// report sends each coordinator the usage that is new to it.
func (l *Limiter) report(ctx context.Context, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	usages := make(map[string]map[string]Usage)
	for tenant, entry := range l.meters {
		name := l.coordinator(entry.ranked)
		if name == "" || l.links[name].isCalling {
			// Usage that is not reported now is in the next report: at the end of the call, or when
			// a coordinator answers.
			continue
		}
		usage, isNew := entry.meter.Report(l.options.Incarnation, now)
		if !isNew {
			continue
		}
		if usages[name] == nil {
			usages[name] = make(map[string]Usage)
		}
		usages[name][tenant] = usage
	}
	for name, reported := range usages {
		if name == l.options.Local {
			l.acknowledge(reported, l.recordReport(name, reported, now), now)
			continue
		}
		l.call(ctx, name, encodeReport(l.options.Incarnation, reported), reported)
	}
}

// call sends a report to a coordinator and applies the answer. reported is the content of the
// report, empty if the call only checks whether the coordinator answers. The caller holds the
// mutex.
func (l *Limiter) call(ctx context.Context, name string, message *quotapb.Report, reported map[string]Usage) {
	if l.isStopped {
		return
	}
	address := l.addresses[name]
	l.links[name].isCalling, l.links[name].calledAt = true, time.Now()
	l.messagesSent.Reports++
	l.group.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		answer := &quotapb.Verdicts{}
		err := l.options.Transport.Call(callCtx, address, kindReport, message, answer)
		if ctx.Err() != nil {
			// The call ended because this node stops, which says nothing about the coordinator.
			return
		}
		now := time.Now()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.recordAnswer(name, err, now)
		if err == nil && len(reported) > 0 {
			l.acknowledge(reported, decodeVerdicts(answer), now)
		} else if err == nil {
			l.applyVerdicts(ctx, name, decodeVerdicts(answer), now)
		}
		// Requests may have arrived during the call, also during one that only checks the
		// coordinator.
		l.requestReport()
	})
}

// acknowledge applies the answer to a report. The caller holds the mutex.
func (l *Limiter) acknowledge(reported map[string]Usage, verdicts map[string]Verdict, now time.Time) {
	for tenant, usage := range reported {
		entry := l.meters[tenant]
		verdict, isAnswered := verdicts[tenant]
		if entry != nil && isAnswered {
			entry.meter.Acknowledge(usage, verdict, now)
		}
	}
}

// handleReport answers the report of another node.
func (l *Limiter) handleReport(_ context.Context, from target.NodeID, body []byte) (proto.Message, error) {
	message := &quotapb.Report{}
	if err := message.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	if !l.options.KnowsTenants() {
		return nil, errNoLimitsKnown
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.recordContact(string(from))
	l.lastReportAt = time.Now()
	l.updateReceivesReports(l.lastReportAt)
	if len(message.Uses) == 0 {
		return encodeVerdicts(l.highUsageVerdicts(l.lastReportAt)), nil
	}
	return encodeVerdicts(l.recordReport(string(from), decodeUsages(message), l.lastReportAt)), nil
}

// errNoLimitsKnown answers a node that regards this one as a coordinator: this node has just
// started, or its configuration has no tenants, so that it would answer with a share of 1 whatever
// the demand.
var errNoLimitsKnown = errors.New("no configuration with tenants is known here")

// highUsageVerdicts returns the verdicts on some tenants with a high usage, for a node that checks
// whether this one answers. The caller holds the mutex.
func (l *Limiter) highUsageVerdicts(now time.Time) map[string]Verdict {
	verdicts := make(map[string]Verdict)
	for tenant, entry := range l.accounts {
		if len(verdicts) < maxHighUsageVerdicts && l.isFirst(tenant) && entry.account.isHighUsage(now) {
			entry.isFirst = true
			verdicts[tenant] = entry.account.Verdict(l.deploymentView(entry), now)
		}
	}
	return verdicts
}

// recordContact records that a node is in contact. The caller holds the mutex.
func (l *Limiter) recordContact(name string) {
	delete(l.silent, name)
	delete(l.departed, name)
	delete(l.relisted, name)
}

// recordReport counts the report of a node and returns the verdicts on its tenants. The caller
// holds the mutex.
func (l *Limiter) recordReport(from string, usages map[string]Usage, now time.Time) map[string]Verdict {
	verdicts := make(map[string]Verdict, len(usages))
	for tenant, usage := range usages {
		limit, isKnown := l.options.LimitOf(tenant)
		if !isKnown || !limit.IsBound() {
			// The reporting node has a different configuration and applies the limit in that one.
			verdicts[tenant] = Verdict{Share: 1}
			continue
		}
		entry := l.accounts[tenant]
		isFirst := l.isFirst(tenant)
		if entry == nil {
			since := now
			if isFirst {
				since = l.coordinatorsSince
			}
			entry = &tenantAccount{account: NewAccount(limit, l.options.Bounds, since, now), sentShare: 1}
			if now.Sub(l.startedAt) < l.options.Bounds.Window {
				entry.account.SetProcessStart(l.startedAt)
			}
			l.accounts[tenant] = entry
		}
		entry.isFirst = isFirst
		view := l.deploymentView(entry)
		entry.account.SetLimit(limit)
		entry.account.AddReport(from, usage, view, now)
		verdicts[tenant] = entry.account.Verdict(view, now)
		l.trackLimit(tenant, entry, verdicts[tenant], now)
		if verdicts[tenant].Share < urgentShareRatio*entry.sentShare {
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

// deploymentView returns what this node knows about the other nodes. The caller holds the mutex.
func (l *Limiter) deploymentView(entry *tenantAccount) DeploymentView {
	return DeploymentView{IsFirst: entry.isFirst, IsSettling: l.isSettling(time.Now()), Nodes: l.nodeCount() + len(l.departed), Silent: l.silent}
}

// trackLimit records whether a tenant is at its limit and sends an event when it has reached it.
// The caller holds the mutex.
func (l *Limiter) trackLimit(tenant string, entry *tenantAccount, verdict Verdict, now time.Time) {
	if verdict.Share < 1 {
		entry.withinLimitSince = time.Time{}
		if entry.limitedAt.IsZero() {
			entry.limitedAt = now
			l.options.Events.AtLimit(tenant, verdict, entry.account.Stats(now))
		}
		return
	}
	if !entry.limitedAt.IsZero() && entry.withinLimitSince.IsZero() {
		entry.withinLimitSince = now
	}
}

// encodeReport returns the message that reports a node's usage of its tenants.
func encodeReport(incarnation uint64, usages map[string]Usage) *quotapb.Report {
	message := &quotapb.Report{Start: incarnation, Uses: make([]*quotapb.Use, 0, len(usages))}
	for tenant, use := range usages {
		message.Uses = append(message.Uses, &quotapb.Use{
			Tenant: tenant, Asked: use.Requests, Admitted: use.Admitted, NewAsked: use.NewRequests, NewAdmitted: use.NewAdmitted,
			Recent: use.RecentRate, Entitled: use.EntitledRate, Share: use.Share,
		})
	}
	return message
}

// decodeUsages reverses encodeReport.
func decodeUsages(message *quotapb.Report) map[string]Usage {
	usages := make(map[string]Usage, len(message.Uses))
	for _, use := range message.Uses {
		usages[use.Tenant] = Usage{
			Incarnation: message.Start, Requests: use.Asked, Admitted: use.Admitted, NewRequests: use.NewAsked, NewAdmitted: use.NewAdmitted,
			RecentRate: use.Recent, EntitledRate: use.Entitled, Share: use.Share,
		}
	}
	return usages
}
