package query

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// cancelled is the failure of a request whose context ended: cancelled by the
// caller, or past a deadline of its own.
func (p *pass) cancelled() *outcome.Error { return typed(p.execution.caller.Err(), "") }

// awaited returns the server whose answer is waited for, if there is one only.
func (p *pass) awaited() string {
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

// coverage states which part of the asked range is covered.
func (p *pass) coverage() Coverage {
	result := Coverage{
		Requested:    p.pinned.asked,
		CoveredWidth: p.covered.Width(),
		Missing:      p.covered.Missing(p.pinned.asked),
		PartsTotal:   len(p.pinned.parts),
	}
	for i := range p.pinned.parts {
		if p.covered.Covers(p.pinned.parts[i].keys) {
			result.PartsCovered++
		}
	}
	return result
}

// sendPartial gives the caller an early state if there is something new and
// the last one is long enough ago.
func (p *pass) sendPartial() {
	x := p.execution
	if x.partial == nil || !p.fresh || p.now < p.nextPartialAt {
		return
	}
	p.fresh = false
	p.nextPartialAt = p.now + x.executor.options.PartialInterval
	x.partial(Partial{
		Restarted: x.restarts > 0 && !p.announced,
		Version:   p.pinned.version,
		Records:   slices.Clone(p.merged.sorted()),
		Coverage:  p.coverage(),
	})
	p.announced = true
}

// finish returns the answer of the last pass, or its failure.
func (p *pass) finish(ended ending) (*Answer, error) {
	x := p.execution
	coverage := p.coverage()
	failure := ended.failure
	if failure == nil && (coverage.CoveredWidth == 0 || coverage.Share() < x.request.Template.MinimumCoverage) {
		failure = x.overallFailure(ended.reason, coverage.CoveredWidth > 0)
	}
	if failure != nil {
		return nil, p.fail(failure, ended, coverage)
	}
	return &Answer{
		Version:    p.pinned.version,
		Records:    p.merged.sorted(),
		Matches:    p.matches,
		ScoreSum:   p.scoreSum,
		Coverage:   coverage,
		StopReason: ended.reason,
		ExtraLoad:  x.load,
		Restarts:   x.restarts,
		Elapsed:    time.Since(x.started),
	}, nil
}

// fail completes a failure with what is known about the whole request.
func (p *pass) fail(failure *outcome.Error, ended ending, coverage Coverage) error {
	x := p.execution
	stated := *failure
	if stated.Peer == "" {
		stated.Peer = ended.awaited
	}
	stated.Outcome = outcome.Unknown
	if x.mayHaveRun == 0 {
		stated.Outcome = outcome.NotRun
	}
	return &CoverageError{
		Failure:    &stated,
		Version:    p.pinned.version,
		Coverage:   coverage,
		StopReason: ended.reason,
		ExtraLoad:  x.load,
	}
}
