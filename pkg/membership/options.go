package membership

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/internal/defaults"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// Options sets up a Membership. Only Self and Transport are required.
type Options struct {
	// Self is this node: its ID, addresses, zone and region.
	Self Member
	// Transport carries the messages.
	Transport peer.Transport
	// Seeds returns addresses at which other nodes may be found. It is called
	// often and must not block; it may return this node's own address.
	Seeds func() []Seed
	// Seed starts the random numbers.
	Seed   uint64
	Logger hclog.Logger
	Timing Timing
	// IndirectProbes is the number of members that are asked to probe one that
	// did not answer.
	IndirectProbes int
	// GossipFanout is the number of members that get fresh news in each
	// GossipPeriod.
	GossipFanout int
	// Bridges is the number of members that exchange summaries with other
	// zones.
	Bridges int
	// MembersPerZone is the number of members of each other zone that every
	// node knows.
	MembersPerZone int

	// beforeTick, set by tests, is called before each round of timed work; a
	// frozen node blocks in it.
	beforeTick func()
}

// Timing holds the periods and time-outs. Zero values mean the defaults.
type Timing struct {
	// ProbePeriod is the time between two probes by one node.
	ProbePeriod time.Duration
	// ProbeTimeout is the wait for the answer to a probe.
	ProbeTimeout time.Duration
	// GossipPeriod is the time between two rounds of fresh news.
	GossipPeriod time.Duration
	// SyncPeriod is the time between two comparisons with a random member.
	SyncPeriod time.Duration
	// RejoinPeriod is the time between two attempts to find lost members.
	RejoinPeriod time.Duration
	// SummaryPeriod is the time between two rounds of exchanges of a bridge.
	SummaryPeriod time.Duration
	// PauseLimit is the delay of timed work above which the process is taken
	// to have been paused.
	PauseLimit time.Duration
	// DeadRetention is how long a dead member is remembered.
	DeadRetention time.Duration
}

// Defaults of Timing and Options.
const (
	DefaultProbePeriod    = time.Second
	DefaultProbeTimeout   = 500 * time.Millisecond
	DefaultGossipPeriod   = 200 * time.Millisecond
	DefaultSyncPeriod     = 10 * time.Second
	DefaultRejoinPeriod   = 3 * time.Second
	DefaultSummaryPeriod  = time.Second
	DefaultPauseLimit     = 2 * time.Second
	DefaultDeadRetention  = time.Hour
	DefaultIndirectProbes = 3
	DefaultGossipFanout   = 3
	DefaultBridges        = 3
	DefaultMembersPerZone = 5
)

func (o Options) withDefaults() Options {
	o.Self.State = Alive
	o.Self.Incarnation = 1
	if o.Self.Address == "" {
		o.Self.Address = o.Transport.Address()
	}
	if o.Seeds == nil {
		o.Seeds = func() []Seed { return nil }
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.beforeTick == nil {
		o.beforeTick = func() {}
	}
	defaults.Set(&o.IndirectProbes, DefaultIndirectProbes)
	defaults.Set(&o.GossipFanout, DefaultGossipFanout)
	defaults.Set(&o.Bridges, DefaultBridges)
	defaults.Set(&o.MembersPerZone, DefaultMembersPerZone)
	defaults.Set(&o.Timing.ProbePeriod, DefaultProbePeriod)
	defaults.Set(&o.Timing.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&o.Timing.GossipPeriod, DefaultGossipPeriod)
	defaults.Set(&o.Timing.SyncPeriod, DefaultSyncPeriod)
	defaults.Set(&o.Timing.RejoinPeriod, DefaultRejoinPeriod)
	defaults.Set(&o.Timing.SummaryPeriod, DefaultSummaryPeriod)
	defaults.Set(&o.Timing.PauseLimit, DefaultPauseLimit)
	defaults.Set(&o.Timing.DeadRetention, DefaultDeadRetention)
	return o
}
