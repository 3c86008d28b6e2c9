package policy

import "time"

// The stop rules.
const (
	StopRuleAll      = "all"
	StopRuleCoverage = "coverage"
	StopRuleFirst    = "first"
)

var stops = newRegistry(KindStop, map[string]Factory[StopSpec, StopRule]{
	StopRuleAll:      func(StopSpec) (StopRule, FieldErrors) { return stopAtAll{}, nil },
	StopRuleCoverage: newStopAtCoverage,
	StopRuleFirst:    newStopAtFirst,
})

// shareTolerance absorbs rounding errors of shares such as 0.95. It is far smaller than the share of
// one key-space position.
const shareTolerance = 1e-9

// stopAtAll is the baseline: it waits for every part or the deadline. The executor enforces both
// itself.
type stopAtAll struct{}

// Decide implements StopRule.
func (stopAtAll) Decide(progress Progress) StopDecision {
	return StopDecision{Stop: progress.Share() >= 1, Reason: StopAllParts}
}

// TargetShare implements StopRule.
func (stopAtAll) TargetShare() float64 { return 1 }

// stopAtCoverage stops once a share of the key space is covered and the grace period for the
// remaining parts has passed.
type stopAtCoverage struct {
	coverage float64
	grace    time.Duration
}

func newStopAtCoverage(spec StopSpec) (StopRule, FieldErrors) {
	var errs FieldErrors
	errs.checkShare("coverage", spec.Coverage)
	if spec.Grace < 0 {
		errs.add("grace", "%s: want no negative time", spec.Grace.Std())
	}
	return stopAtCoverage{coverage: spec.Coverage, grace: spec.Grace.Std()}, errs
}

// Decide implements StopRule.
func (r stopAtCoverage) Decide(progress Progress) StopDecision {
	if !coverageReached(progress, r.coverage) {
		return StopDecision{}
	}
	graceLeft := r.grace - progress.SinceCoverage
	if graceLeft > 0 {
		return StopDecision{Recheck: graceLeft}
	}
	return StopDecision{Stop: true, Reason: StopCoverage}
}

// TargetShare implements StopRule.
func (r stopAtCoverage) TargetShare() float64 { return r.coverage }

// stopAtFirst stops once enough records were found and, if coverage is set, that share of the key
// space is covered.
type stopAtFirst struct {
	records  int
	coverage float64
}

func newStopAtFirst(spec StopSpec) (StopRule, FieldErrors) {
	var errs FieldErrors
	errs.checkMin("records", spec.Records, 1)
	errs.checkMax("records", spec.Records, maxRecords)
	if !(spec.Coverage >= 0 && spec.Coverage <= 1) {
		errs.add("coverage", "%v: want a number from 0 to 1", spec.Coverage)
	}
	return stopAtFirst{records: spec.Records, coverage: spec.Coverage}, errs
}

// Decide implements StopRule.
func (r stopAtFirst) Decide(progress Progress) StopDecision {
	stop := progress.Records >= r.records && coverageReached(progress, r.coverage)
	return StopDecision{Stop: stop, Reason: StopFirstResults}
}

// TargetShare implements StopRule.
func (r stopAtFirst) TargetShare() float64 { return r.coverage }

func coverageReached(progress Progress, share float64) bool {
	return progress.Share()+shareTolerance >= share
}
