package policy

import "time"

// The parameters of the default policies.
const (
	defaultHedgeQuantile = 0.97
	defaultHedgeFloor    = time.Millisecond
	defaultHedgeFactor   = 2.5
	defaultCoverage      = 1.0
	defaultGrace         = 10 * time.Millisecond
	defaultRecords       = 10
	defaultMaxQueued     = 256
	defaultMaxAttempts   = 3
	defaultExtraShare    = 0.05
	defaultExtraBurst    = 10
)

// Defaults returns the values used for fields that an operator leaves empty: the policy of each
// kind, and the parameters of that policy and of the other policies of its kind. Hedge.Delay has no
// default for the "fixed" policy.
func Defaults() Spec {
	return Spec{
		Replica: ReplicaSpec{Policy: ReplicaTwoChoices},
		Hedge: HedgeSpec{
			Policy:   HedgeQuantile,
			Delay:    Duration(defaultHedgeFloor),
			Quantile: defaultHedgeQuantile,
			Factor:   defaultHedgeFactor,
		},
		Stop: StopSpec{
			Policy:   StopRuleAll,
			Coverage: defaultCoverage,
			Grace:    Duration(defaultGrace),
			Records:  defaultRecords,
		},
		Admission: AdmissionSpec{Policy: AdmissionDeadlineAware, MaxQueued: defaultMaxQueued},
		Retry:     RetrySpec{Policy: RetryDeadlineAware, MaxAttempts: defaultMaxAttempts},
		ExtraLoad: ExtraLoadSpec{Share: defaultExtraShare, Burst: defaultExtraBurst},
	}
}

// Merge returns base with the kinds that override sets. A kind is taken as a whole from override if
// its Policy (for ExtraLoad: its Share) is set.
func Merge(base, override Spec) Spec {
	merged := base
	if override.Replica.Policy != "" {
		merged.Replica = override.Replica
	}
	if override.Hedge.Policy != "" {
		merged.Hedge = override.Hedge
	}
	if override.Stop.Policy != "" {
		merged.Stop = override.Stop
	}
	if override.Admission.Policy != "" {
		merged.Admission = override.Admission
	}
	if override.Retry.Policy != "" {
		merged.Retry = override.Retry
	}
	if override.ExtraLoad.Share != 0 {
		merged.ExtraLoad = override.ExtraLoad
	}
	return merged
}

// withDefaults returns spec with every empty field set to its default. Hedge.Delay of "fixed" and
// Stop.Coverage of "first" stay empty.
func withDefaults(spec Spec) Spec {
	defaults := Defaults()
	setDefault(&spec.Replica.Policy, defaults.Replica.Policy)
	setDefault(&spec.Hedge.Policy, defaults.Hedge.Policy)
	if spec.Hedge.Policy != HedgeFixed {
		setDefault(&spec.Hedge.Delay, defaults.Hedge.Delay)
	}
	setDefault(&spec.Hedge.Quantile, defaults.Hedge.Quantile)
	setDefault(&spec.Hedge.Factor, defaults.Hedge.Factor)
	setDefault(&spec.Stop.Policy, defaults.Stop.Policy)
	if spec.Stop.Policy != StopRuleFirst {
		setDefault(&spec.Stop.Coverage, defaults.Stop.Coverage)
	}
	setDefault(&spec.Stop.Grace, defaults.Stop.Grace)
	setDefault(&spec.Stop.Records, defaults.Stop.Records)
	setDefault(&spec.Admission.Policy, defaults.Admission.Policy)
	setDefault(&spec.Admission.MaxQueued, defaults.Admission.MaxQueued)
	setDefault(&spec.Retry.Policy, defaults.Retry.Policy)
	setDefault(&spec.Retry.MaxAttempts, defaults.Retry.MaxAttempts)
	setDefault(&spec.ExtraLoad.Share, defaults.ExtraLoad.Share)
	setDefault(&spec.ExtraLoad.Burst, defaults.ExtraLoad.Burst)
	return spec
}

// setDefault sets a field that has its zero value to defaultValue.
func setDefault[T comparable](field *T, defaultValue T) {
	var zero T
	if *field == zero {
		*field = defaultValue
	}
}
