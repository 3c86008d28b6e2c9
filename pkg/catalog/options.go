package catalog

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// Defaults of Options.
const (
	DefaultWarmUp                  = 30 * time.Second
	DefaultProbeFailures           = 3
	DefaultConsecutiveFailures     = 5
	DefaultFailureShare            = 0.5
	DefaultMinResults              = 20
	DefaultEjectionTime            = 2 * time.Second
	DefaultMaxEjectionTime         = time.Minute
	DefaultUnlistedSilentTimeout   = 10 * time.Second
	DefaultUnlistedTimeout         = 10 * time.Minute
	DefaultRetention               = 15 * time.Minute
	DefaultAnswerFreshness         = 5 * time.Second
	DefaultDeadAnnouncementBackoff = 3 * time.Second
)

// Options sets up a Catalog. Only Node and Zone are required.
type Options struct {
	// Node is this node; it is the observer of the news that it sends.
	Node target.NodeID
	// Zone and Region are where this node runs; Region may be empty.
	Zone   target.Zone
	Region target.Region

	// WarmUp is the time after its start over which the weight of a server
	// grows to 1.
	WarmUp time.Duration
	// ProbeFailures is the number of failed probes in a row after which this
	// node suspects a server.
	ProbeFailures int
	// ConsecutiveFailures is the number of failed sub-requests in a row that
	// eject a server.
	ConsecutiveFailures int
	// FailureShare ejects a server if at least that share of its recent
	// sub-requests failed, of at least MinResults.
	FailureShare float64
	MinResults   int
	// EjectionTime is the time of a first ejection; it doubles with each one
	// that follows, up to MaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// UnlistedSilentTimeout is the time after which a server that is missing from the
	// machine list and does not answer probes is removed, UnlistedTimeout that
	// of one that does answer. Retention is how long after that it is
	// remembered.
	UnlistedSilentTimeout time.Duration
	UnlistedTimeout       time.Duration
	Retention             time.Duration
	// AnswerFreshness is how long after a good answer to a sub-request a
	// server is not suspected, whatever probes say.
	AnswerFreshness time.Duration
	// DeadAnnouncementBackoff is the least time between two times that this node
	// announces the same server as dead; it doubles with each refutation.
	DeadAnnouncementBackoff time.Duration

	// OnUpdate receives the news that this node has to tell its peers. It is
	// called outside all locks, from the goroutine that brought the change,
	// and must not block. Nil means none.
	OnUpdate func(update Update)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Logger is nil for none.
	Logger hclog.Logger
}

func (o Options) withDefaults() Options {
	setDuration(&o.WarmUp, DefaultWarmUp)
	setDuration(&o.EjectionTime, DefaultEjectionTime)
	setDuration(&o.MaxEjectionTime, DefaultMaxEjectionTime)
	setDuration(&o.UnlistedSilentTimeout, DefaultUnlistedSilentTimeout)
	setDuration(&o.UnlistedTimeout, DefaultUnlistedTimeout)
	setDuration(&o.Retention, DefaultRetention)
	setDuration(&o.AnswerFreshness, DefaultAnswerFreshness)
	setDuration(&o.DeadAnnouncementBackoff, DefaultDeadAnnouncementBackoff)
	if o.ProbeFailures <= 0 {
		o.ProbeFailures = DefaultProbeFailures
	}
	if o.ConsecutiveFailures <= 0 {
		o.ConsecutiveFailures = DefaultConsecutiveFailures
	}
	if o.FailureShare <= 0 {
		o.FailureShare = DefaultFailureShare
	}
	if o.MinResults <= 0 {
		o.MinResults = DefaultMinResults
	}
	if o.OnUpdate == nil {
		o.OnUpdate = func(Update) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return o
}

func setDuration(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}
