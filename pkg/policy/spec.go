package policy

import "time"

// Duration is a time.Duration that is written as text ("150ms") in JSON and
// YAML.
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// ReplicaSpec chooses a ReplicaChooser.
type ReplicaSpec struct {
	// Policy is "random" (baseline), "least_in_flight" or "two_choices".
	Policy string `json:"policy,omitempty" yaml:"policy,omitempty"`
}

// HedgeSpec chooses a HedgePolicy.
type HedgeSpec struct {
	// Policy is "none" (baseline), "fixed", "quantile" or "typical".
	Policy string `json:"policy,omitempty" yaml:"policy,omitempty"`
	// Delay is the delay of "fixed" and the minimum delay of "quantile".
	Delay Duration `json:"delay,omitempty" yaml:"delay,omitempty"`
	// Quantile is the latency quantile, above 0 and below 1, that "quantile"
	// waits for.
	Quantile float64 `json:"quantile,omitempty" yaml:"quantile,omitempty"`
	// Factor is the multiple of a server's typical time that "typical" waits for; 1 to 100.
	Factor float64 `json:"factor,omitempty" yaml:"factor,omitempty"`
}

// StopSpec chooses a StopRule.
type StopSpec struct {
	// Policy is "all" (baseline), "coverage" or "first".
	Policy string `json:"policy,omitempty" yaml:"policy,omitempty"`
	// Coverage is the share, above 0 and at most 1, at which "coverage" stops
	// and below which "first" does not stop.
	Coverage float64 `json:"coverage,omitempty" yaml:"coverage,omitempty"`
	// Grace is how long "coverage" waits for the remaining parts after Coverage is reached.
	Grace Duration `json:"grace,omitempty" yaml:"grace,omitempty"`
	// Records is the number of records at which "first" stops.
	Records int `json:"records,omitempty" yaml:"records,omitempty"`
}

// AdmissionSpec chooses an AdmissionPolicy.
type AdmissionSpec struct {
	// Policy is "unlimited" (baseline), "bounded_queue" or "deadline_aware".
	Policy string `json:"policy,omitempty" yaml:"policy,omitempty"`
	// MaxQueued bounds the number of waiting requests per tenant and class.
	MaxQueued int `json:"max_queued,omitempty" yaml:"max_queued,omitempty"`
}

// RetrySpec chooses a RetryPolicy.
type RetrySpec struct {
	// Policy is "none" (baseline), "immediate" or "deadline_aware".
	Policy string `json:"policy,omitempty" yaml:"policy,omitempty"`
	// MaxAttempts bounds the sub-requests for one part, including the first.
	MaxAttempts int `json:"max_attempts,omitempty" yaml:"max_attempts,omitempty"`
}

// ExtraLoadSpec bounds the combined load of hedges and retries.
type ExtraLoadSpec struct {
	// Share is the allowed ratio of extra to primary sub-requests, 0 to 1.
	Share float64 `json:"share,omitempty" yaml:"share,omitempty"`
	// Burst is the number of extra sub-requests that may accumulate unused.
	Burst int `json:"burst,omitempty" yaml:"burst,omitempty"`
}

// Spec names one policy of each kind with its parameters. An empty Policy selects the default of its
// kind; see Defaults.
type Spec struct {
	Replica   ReplicaSpec   `json:"replica,omitzero" yaml:"replica,omitempty"`
	Hedge     HedgeSpec     `json:"hedge,omitzero" yaml:"hedge,omitempty"`
	Stop      StopSpec      `json:"stop,omitzero" yaml:"stop,omitempty"`
	Admission AdmissionSpec `json:"admission,omitzero" yaml:"admission,omitempty"`
	Retry     RetrySpec     `json:"retry,omitzero" yaml:"retry,omitempty"`
	ExtraLoad ExtraLoadSpec `json:"extra_load,omitzero" yaml:"extra_load,omitempty"`
}

// Set is one built policy of each kind.
type Set struct {
	Replica   ReplicaChooser
	Hedge     HedgePolicy
	Stop      StopRule
	Admission AdmissionPolicy
	Retry     RetryPolicy
	ExtraLoad ExtraLoadSpec
}
