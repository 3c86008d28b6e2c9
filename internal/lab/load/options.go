// Package load is the open-loop load generator of the lab. It sends requests at
// the times that an arrival process sets, whatever the answers do, and counts
// every latency from the intended time, so that a slow system can't slow down
// its own measurement (no coordinated omission).
//
// Run is the entry point. An Observer sees every exchange, for example the
// oracle. Options are not changed by Run; a Result is a plain value.
package load

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// Arrivals names the process that sets the intended send times.
type Arrivals string

// The arrival processes.
const (
	// ArrivalsPoisson has exponential gaps; it is the default.
	ArrivalsPoisson Arrivals = "poisson"
	// ArrivalsConstant has equal gaps.
	ArrivalsConstant Arrivals = "constant"
)

// Defaults of Options.
const (
	defaultMaxOutstanding = 4096
	defaultMaxAttempts    = 3
	defaultRequestTimeout = 30 * time.Second
)

// Step is a time at one rate.
type Step struct {
	// Rate is the number of requests per second over all targets.
	Rate     float64         `json:"rate" yaml:"rate"`
	Duration policy.Duration `json:"duration" yaml:"duration"`
}

// TemplateLoad is the share of the load that asks one template.
type TemplateLoad struct {
	Tenant   string `json:"tenant" yaml:"tenant"`
	Template string `json:"template" yaml:"template"`
	// Weight is the share of the requests relative to the other entries; 1 if
	// zero.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
	// Queries are drawn from evenly; the empty query, which matches every
	// record, if there are none.
	Queries []string `json:"queries,omitempty" yaml:"queries,omitempty"`
	// Keys are drawn from evenly for requests about one key. A not-repeatable
	// request without Keys gets a key of its own.
	Keys  []string     `json:"keys,omitempty" yaml:"keys,omitempty"`
	Limit int          `json:"limit,omitempty" yaml:"limit,omitempty"`
	Class policy.Class `json:"class,omitempty" yaml:"class,omitempty"`
	// Deadline is sent along; the template's deadline holds if it is zero.
	Deadline policy.Duration `json:"deadline,omitempty" yaml:"deadline,omitempty"`
	// NotRepeatable requests carry an idempotency key of their own.
	NotRepeatable bool `json:"not_repeatable,omitempty" yaml:"not_repeatable,omitempty"`
	// RepeatShare is the share of not-repeatable requests that the caller
	// sends again with the same key, to the next target, after the first
	// attempt ended; 0 to 1.
	RepeatShare float64         `json:"repeat_share,omitempty" yaml:"repeat_share,omitempty"`
	Payload     json.RawMessage `json:"payload,omitempty" yaml:"-"`
	// Stream asks for early states of the answer.
	Stream bool `json:"stream,omitempty" yaml:"stream,omitempty"`
	// UsefulCoverage is the least coverage of an answer that counts as useful;
	// 1 if zero.
	UsefulCoverage float64 `json:"useful_coverage,omitempty" yaml:"useful_coverage,omitempty"`
	// UsefulWithin is the greatest latency of an answer that counts as useful,
	// from the intended send time or, for a caller that retried, from when it
	// did; no bound if zero.
	UsefulWithin policy.Duration `json:"useful_within,omitempty" yaml:"useful_within,omitempty"`
}

// Name returns "tenant/template".
func (t TemplateLoad) Name() string { return t.Tenant + "/" + t.Template }

// Options says what load to send where.
type Options struct {
	// Targets are the base addresses of the nodes ("host:port" or a URL); they
	// are used in turn.
	Targets  []string
	Mix      []TemplateLoad
	Steps    []Step
	Arrivals Arrivals
	// Seed sets the arrivals, the mix and the queries.
	Seed uint64
	// Name begins every request id and idempotency key; it must differ between
	// runs against the same nodes.
	Name string
	// Warmup is a time at the rate of the first step whose requests are sent
	// and observed but are not part of the result.
	Warmup time.Duration
	// MaxOutstanding bounds the unanswered requests. An arrival beyond it is
	// not sent and is counted in Result.NotSent.
	MaxOutstanding int
	// HonourRetryAfter makes a refused caller retry when the answer says,
	// at most MaxAttempts times in all.
	HonourRetryAfter bool
	MaxAttempts      int
	// RequestTimeout bounds one exchange at the client.
	RequestTimeout time.Duration
	// Arm, if set, is the arm that every request is counted under, whatever
	// the answers say.
	Arm string
	// Observer, if set, sees every exchange.
	Observer Observer
	// Progress, if set, gets a line each second.
	Progress io.Writer
}

// withDefaults returns a checked copy of the options with defaults filled in.
func (o Options) withDefaults() (Options, error) {
	if o.MaxOutstanding == 0 {
		o.MaxOutstanding = defaultMaxOutstanding
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	if o.Arrivals == "" {
		o.Arrivals = ArrivalsPoisson
	}
	if o.Name == "" {
		o.Name = "load"
	}
	return o, o.check()
}

// duration is the time of all steps.
func (o Options) duration() time.Duration {
	var total time.Duration
	for _, step := range o.Steps {
		total += step.Duration.Std()
	}
	return total
}

func (o Options) check() error {
	if len(o.Targets) == 0 {
		return errors.New("load: no target")
	}
	if len(o.Mix) == 0 {
		return errors.New("load: no template")
	}
	if len(o.Steps) == 0 {
		return errors.New("load: no step")
	}
	if o.Arrivals != ArrivalsPoisson && o.Arrivals != ArrivalsConstant {
		return errors.Errorf("load: arrivals %q: want %s or %s", o.Arrivals, ArrivalsPoisson, ArrivalsConstant)
	}
	if o.MaxOutstanding < 0 || o.MaxAttempts < 0 {
		return errors.New("load: negative bound")
	}
	return checkSteps(o.Steps)
}

func checkSteps(steps []Step) error {
	for index, step := range steps {
		if step.Rate <= 0 || step.Duration <= 0 {
			return errors.Errorf("load: step %d: rate and duration must be above zero", index)
		}
	}
	return nil
}
