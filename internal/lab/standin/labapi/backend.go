// Package labapi holds the typed messages of the stand-ins' admin interface and
// a client for it. Tests and experiments drive the stand-ins through it,
// whether these run in the same process or in another.
package labapi

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Addresses tells where the stand-ins of one deployment listen.
type Addresses struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// Admin is the base URL of the admin interface.
	Admin string `json:"admin"`
	// Store is the base URL of the configuration store.
	Store string `json:"store,omitempty"`
	// MachineList is the URL of the machine list.
	MachineList string          `json:"machine_list,omitempty"`
	Servers     []ServerAddress `json:"servers,omitempty"`
}

// ServerAddress is one back-end server and where it listens.
type ServerAddress struct {
	Name    string          `json:"name"`
	Service target.Service  `json:"service"`
	Group   string          `json:"group,omitempty"`
	Zone    target.Zone     `json:"zone"`
	Region  target.Region   `json:"region"`
	Address target.ServerID `json:"address"`
}

// ServerInfo is the true state of one back-end server, without lag.
type ServerInfo struct {
	ServerAddress
	Running     bool                    `json:"running"`
	Draining    bool                    `json:"draining"`
	InFlight    int                     `json:"in_flight"`
	Queued      int                     `json:"queued"`
	Connections int                     `json:"connections"`
	Indexes     []backend.IndexDocument `json:"indexes"`
	Faults      Faults                  `json:"faults"`
	Counters    Counters                `json:"counters"`
}

// Counters count what a server did since it was made.
type Counters struct {
	// Received counts requests whose header was read.
	Received  uint64 `json:"received"`
	Executed  uint64 `json:"executed"`
	Completed uint64 `json:"completed"`
	Aborted   uint64 `json:"aborted"`
	// Refused counts refusals before execution, of every reason.
	Refused uint64 `json:"refused"`
	Shed    uint64 `json:"shed"`
	// Connections counts accepted connections, ConnectionsRefused those over
	// the limit.
	Connections        uint64 `json:"connections"`
	ConnectionsRefused uint64 `json:"connections_refused"`
	Probes             uint64 `json:"probes"`
}

// Faults are the faults of one back-end server. The zero value is a healthy
// server. Every share is between 0 and 1 and is drawn for each request.
type Faults struct {
	// SlowFactor multiplies the service time; zero stands for 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// StragglerShare and StragglerFactor replace those of the service if the
	// factor is above zero.
	StragglerShare  float64 `json:"straggler_share,omitempty"`
	StragglerFactor float64 `json:"straggler_factor,omitempty"`
	// Hang makes the server accept requests and do nothing, probes included.
	Hang bool `json:"hang,omitempty"`
	// ShedShare refuses requests as if every slot were taken.
	ShedShare float64 `json:"shed_share,omitempty"`
	// ErrorShare answers 500 after the execution.
	ErrorShare float64 `json:"error_share,omitempty"`
	// ResetShare closes the connection after the execution, without an answer.
	ResetShare float64 `json:"reset_share,omitempty"`
	// LateShare holds back the answer for LateMS, past any deadline.
	LateShare float64 `json:"late_share,omitempty"`
	LateMS    int64   `json:"late_ms,omitempty"`
	// TruncateShare cuts the body: half of these with the connection closed
	// early, half with a length that fits the cut body.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// CorruptShare changes one byte of the body.
	CorruptShare float64 `json:"corrupt_share,omitempty"`
	// WrongIDShare echoes the id of another request.
	WrongIDShare float64 `json:"wrong_id_share,omitempty"`
	// WrongVersionShare answers from another index version, and says so.
	WrongVersionShare float64 `json:"wrong_version_share,omitempty"`
	// WrongRangeShare covers only half of the asked range, and says so.
	WrongRangeShare float64 `json:"wrong_range_share,omitempty"`
	// ReportLagMS delays what the status and the hints say of load, drain and
	// readiness.
	ReportLagMS int64 `json:"report_lag_ms,omitempty"`
	// LoadBias is added to the reported load.
	LoadBias float64 `json:"load_bias,omitempty"`
	// HideDrain leaves out the drain signal altogether.
	HideDrain bool `json:"hide_drain,omitempty"`
}

// Selector picks servers; an empty field matches every server.
type Selector struct {
	Server  target.ServerID `json:"server,omitempty"`
	Service target.Service  `json:"service,omitempty"`
	Group   string          `json:"group,omitempty"`
	Zone    target.Zone     `json:"zone,omitempty"`
}

// Matches reports whether the selector picks the server.
func (s Selector) Matches(server ServerAddress) bool {
	return (s.Server == "" || s.Server == server.Address) &&
		(s.Service == "" || s.Service == server.Service) &&
		(s.Group == "" || s.Group == server.Group) &&
		(s.Zone == "" || s.Zone == server.Zone)
}

// FaultsRequest sets the faults of every server that Selector picks.
type FaultsRequest struct {
	Selector Selector `json:"selector"`
	Faults   Faults   `json:"faults"`
}

// DrainRequest starts a drain.
type DrainRequest struct {
	// GraceMS is how long new work is still taken; the service's if absent.
	GraceMS *int64 `json:"grace_ms,omitempty"`
	// Stop stops the server once the grace is over and nothing is running.
	Stop bool `json:"stop,omitempty"`
	// Unlisted leaves the machine list as it is, so that only the server
	// itself knows.
	Unlisted bool `json:"unlisted,omitempty"`
}

// PublishRequest publishes a new index version of a service.
type PublishRequest struct {
	// Version is one above the newest if zero.
	Version target.Version `json:"version,omitempty"`
	// StaggerMS is the time over which the servers take up the version, one
	// after the other.
	StaggerMS int64 `json:"stagger_ms,omitempty"`
}

// PublishReply tells the version that was published.
type PublishReply struct {
	Version target.Version `json:"version"`
}

// SplitRequest splits a shard of a service in two.
type SplitRequest struct {
	Group string `json:"group"`
	// At is the first position of the right part; the middle if zero.
	At uint32 `json:"at,omitempty"`
	// Separate gives each holder only one of the two parts, in turn, where
	// every part then still has two holders.
	Separate bool `json:"separate,omitempty"`
	// OverlapMS is how long the holders keep the old shard beside the new
	// ones, as servers do that load before they drop.
	OverlapMS int64 `json:"overlap_ms,omitempty"`
}

// MergeRequest merges two adjacent shards of a service; every holder of either
// then holds the whole.
type MergeRequest struct {
	Left  string `json:"left"`
	Right string `json:"right"`
	// OverlapMS is how long the holders keep the old shards beside the new one.
	OverlapMS int64 `json:"overlap_ms,omitempty"`
}

// LayoutReply lists the shards of the newest version of a service.
type LayoutReply struct {
	Shards []backend.ShardDocument `json:"shards"`
}

// ExecutionOutcome is how a received request ended at a server.
type ExecutionOutcome string

// The outcomes of a received request.
const (
	// ExecutionWaiting was received and has not started yet.
	ExecutionWaiting ExecutionOutcome = "waiting"
	// ExecutionRunning is still running.
	ExecutionRunning ExecutionOutcome = "running"
	// ExecutionCompleted ran to its end; whether the answer arrived is
	// another matter.
	ExecutionCompleted ExecutionOutcome = "completed"
	// ExecutionAborted started and was stopped by a cancel, a deadline or the
	// end of the server.
	ExecutionAborted ExecutionOutcome = "aborted"
	// ExecutionRefused never started.
	ExecutionRefused ExecutionOutcome = "refused"
)

// Execution is one received request in the log of a server.
type Execution struct {
	Time           time.Time        `json:"time"`
	Server         target.ServerID  `json:"server"`
	Service        target.Service   `json:"service"`
	RequestID      string           `json:"request_id"`
	Attempt        uint32           `json:"attempt"`
	Tenant         string           `json:"tenant,omitempty"`
	IdempotencyKey string           `json:"idempotency_key,omitempty"`
	Version        target.Version   `json:"version"`
	Range          keyspace.Range   `json:"range"`
	Outcome        ExecutionOutcome `json:"outcome"`
	// Reason is why the request was refused or aborted.
	Reason string `json:"reason,omitempty"`
}

// Ran reports whether the execution started.
func (e Execution) Ran() bool {
	return e.Outcome != ExecutionRefused && e.Outcome != ExecutionWaiting
}

// ExecutionsQuery picks entries of the execution log; an empty field matches
// every entry.
type ExecutionsQuery struct {
	IdempotencyKey string
	RequestID      string
	Server         target.ServerID
	Service        target.Service
	// Since leaves out entries before that moment.
	Since time.Time
}
