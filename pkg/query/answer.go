package query

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// cancellation returns the failure of a request whose context ended, either cancelled by the caller
// or past the context's own deadline.
func (p *pass) cancellation() *outcome.Error { return asOutcomeError(p.execution.callerCtx.Err(), "") }

// soleRunningServer returns a server whose answer is still awaited if the pass has exactly one part.
// It returns "" if there is no such server or if the pass has several parts.
func (p *pass) soleRunningServer() string {
	if len(p.parts) != 1 {
		return ""
	}
	for _, running := range p.parts[0].running {
		if running != nil {
			return string(running.request.Target.Server)
		}
	}
	return ""
}

// coverage returns how much of the requested range is covered so far.
func (p *pass) coverage() Coverage {
	result := Coverage{
		Requested:    p.pinned.requested,
		CoveredWidth: p.covered.Width(),
		Missing:      p.covered.Missing(p.pinned.requested),
		PartsTotal:   len(p.pinned.parts),
	}
	for i := range p.pinned.parts {
		if p.covered.Covers(p.pinned.parts[i].keys) {
			result.PartsCovered++
		}
	}
	return result
}

// sendPartial sends the caller a partial answer if parts were covered since the last one and the
// minimum interval between partials has passed.
func (p *pass) sendPartial() {
	x := p.execution
	if x.partial == nil || !p.partialPending || p.now < p.nextPartialAt {
		return
	}
	p.partialPending = false
	p.nextPartialAt = p.now + x.executor.options.PartialInterval
	x.partial(Partial{
		Restarted: x.restarts > 0 && !p.partialSent,
		Version:   p.pinned.version,
		Records:   slices.Clone(p.merged.sorted()),
		Coverage:  p.coverage(),
	})
	p.partialSent = true
}

// finish returns the answer of the last pass, or its failure.
func (p *pass) finish(result passResult) (*Answer, error) {
	x := p.execution
	coverage := p.coverage()
	failure := result.failure
	if failure == nil && (coverage.CoveredWidth == 0 || coverage.Share() < x.request.Template.MinimumCoverage) {
		failure = x.overallFailure(result.reason, coverage.CoveredWidth > 0)
	}
	if failure != nil {
		return nil, p.fail(failure, result, coverage)
	}
	return &Answer{
		Version:    p.pinned.version,
		Records:    p.merged.sorted(),
		Matches:    p.matches,
		ScoreSum:   p.scoreSum,
		Coverage:   coverage,
		StopReason: result.reason,
		ExtraLoad:  x.extraLoad,
		Restarts:   x.restarts,
		Elapsed:    time.Since(x.started),
	}, nil
}

// fail returns a CoverageError for the failure. It sets the outcome from all sub-requests of the
// request: NotRun if none of them may have run, and Unknown otherwise.
func (p *pass) fail(failure *outcome.Error, result passResult, coverage Coverage) error {
	x := p.execution
	detailed := *failure
	if detailed.Peer == "" {
		detailed.Peer = result.awaitedServer
	}
	detailed.Outcome = outcome.Unknown
	if x.mayHaveRun == 0 {
		detailed.Outcome = outcome.NotRun
	}
	return &CoverageError{
		Failure:    &detailed,
		Version:    p.pinned.version,
		Coverage:   coverage,
		StopReason: result.reason,
		ExtraLoad:  x.extraLoad,
	}
}
