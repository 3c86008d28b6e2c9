package edge

import (
	"time"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/pkg/owner"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// serveOwned handles the requests of other nodes for the shards that this node owns.
func (n *Node) serveOwned(handler *front.Handler, rules *policies, recorder *requestRecorder) {
	owner.NewServer(owner.ServerOptions{
		Transport: n.transport, Runner: handler.Collector(), Servers: n.state.fleet, Draining: n.state.Draining,
		Policies: func(kind, requestID string) (policy.HedgePolicy, float64) {
			chosen := rules.forKind(kind, true, requestID)
			return chosen.Hedge, chosen.ExtraShare
		},
		Regions:   n.state.currentRegions,
		Announcer: n.announcer,
		Recorder:  recorder.RecordOwned,
	})
}

// currentRegions returns the regions in which another node's request may be served, according to the
// newer of that node's configuration and this node's.
func (s *state) currentRegions(scope owner.RequestScope) route.Regions {
	table := s.table.Load()
	if table == nil || table.Version <= scope.Version {
		return scope.Regions
	}
	return table.RegionsOf(scope.Host, scope.Target, scope.Tenant, scope.Regions)
}

// ownerEvents logs which owners are lost and regained. It implements owner.Events.
type ownerEvents struct{ node *Node }

// OwnerLost implements owner.Events.
func (e ownerEvents) OwnerLost(name string, cause error) {
	e.node.metrics.ownersLost.WithLabelValues().Inc()
	e.node.logger.Warn("owner lost", "owner", name, "error", cause.Error())
}

// OwnerRegained implements owner.Events.
func (e ownerEvents) OwnerRegained(name string, lost time.Duration) {
	e.node.logger.Info("owner regained", "owner", name, "lost_ms", lost.Milliseconds())
}

// RecordOwned counts and logs a request of another node to this one as an owner. It logs a sample of
// complete answers and, within the rate limit, all others.
func (e *requestRecorder) RecordOwned(record owner.Record) {
	e.metrics.countOwned(record)
	result := record.Result
	isComplete := result.AnsweredCount == len(record.Services)
	if isComplete && e.successes.Add(1)%sampleEvery != 1 {
		return
	}
	if !e.mayWrite() {
		return
	}
	list := []any{
		"request", record.RequestID, "route", record.Kind, "asked_by", record.AskedBy, "reason", string(result.Reason),
		"took_ms", float64(record.Took.Microseconds()) / 1000, "parts", result.AnsweredCount, "total", len(record.Services),
	}
	list = appendCounts(list, result)
	if len(result.Attempts) > 0 {
		list = append(list, "attempts", result.Attempts)
	}
	e.logger.Info("owned parts", appendMissing(list, result, record.Services)...)
}
