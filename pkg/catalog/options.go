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

// Options configures a Catalog. Only Node and Zone are required.
type Options struct {
	// Node is this node. It is the observer of the updates that the catalog publishes.
	Node target.NodeID
	// Zone and Region are the location of this node. Region may be empty.
	Zone   target.Zone
	Region target.Region

	// WarmUp is the time after its start over which the weight of a server grows to 1.
	WarmUp time.Duration
	// ProbeFailures is the number of consecutive failed probes after which this node suspects a
	// server.
	ProbeFailures int
	// ConsecutiveFailures is the number of consecutive failed sub-requests that eject a server.
	ConsecutiveFailures int
	// FailureShare is the share of failed recent sub-requests at which a server is ejected,
	// provided that there are at least MinResults recent results.
	FailureShare float64
	MinResults   int
	// EjectionTime is the duration of the first ejection. It doubles with each subsequent one, up
	// to MaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// UnlistedSilentTimeout is the time after which a server that is missing from the machine list
	// and does not answer probes is removed; UnlistedTimeout is that time for a server that does
	// answer. Retention is how long the record is kept after UnlistedTimeout.
	UnlistedSilentTimeout time.Duration
	UnlistedTimeout       time.Duration
	Retention             time.Duration
	// AnswerFreshness is the time after a successful sub-request during which a server is not
	// suspected, whatever the probes report.
	AnswerFreshness time.Duration
	// DeadAnnouncementBackoff is the minimum time between two announcements by this node that the
	// same server is dead. It doubles with each refutation.
	DeadAnnouncementBackoff time.Duration

	// OnUpdate receives the updates to publish to peers. It is called without locks held, on the
	// goroutine that made the change, and must not block. Nil disables it.
	OnUpdate func(update Update)
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// Logger receives log records. Nil disables logging.
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
