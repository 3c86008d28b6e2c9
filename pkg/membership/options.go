package membership

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/internal/defaults"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// Options configures a Membership. Only Self and Transport are required.
type Options struct {
	// Self is this node: its ID, addresses, zone and region.
	Self Member
	// Transport carries the messages to and from peers.
	Transport peer.Transport
	// Seeds returns addresses at which other nodes may be found. It is called often and must not
	// block. It may include this node's own address.
	Seeds func() []Seed
	// Seed seeds the random number generator.
	Seed   uint64
	Logger hclog.Logger
	Timing Timing
	// IndirectProbes is the number of members that are asked to probe a member that did not answer.
	IndirectProbes int
	// GossipFanout is the number of members that receive queued gossip in each GossipPeriod.
	GossipFanout int
	// Bridges is the number of members of this zone that exchange summaries with other zones.
	Bridges int
	// MembersPerZone is the maximum number of members of each other zone that a node knows.
	MembersPerZone int

	// beforeTick is set by tests and called before each tick; a frozen node blocks in it.
	beforeTick func()
}

// Timing holds the periods and time-outs. Zero values select the defaults.
type Timing struct {
	// ProbePeriod is the time between two probes by one node.
	ProbePeriod time.Duration
	// ProbeTimeout is how long a node waits for the answer to a probe.
	ProbeTimeout time.Duration
	// GossipPeriod is the time between two rounds of gossip, and between two ticks.
	GossipPeriod time.Duration
	// SyncPeriod is the time between two comparisons of the list with a random member.
	SyncPeriod time.Duration
	// RejoinPeriod is the time between two attempts to find lost members.
	RejoinPeriod time.Duration
	// SummaryPeriod is the time between two rounds of a bridge's exchanges with other zones.
	SummaryPeriod time.Duration
	// PauseLimit is the delay of a tick above which the process is considered to have been paused.
	PauseLimit time.Duration
	// DeadRetention is how long a dead member of this zone is remembered.
	DeadRetention time.Duration
}

// Default values of Timing and Options.
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
