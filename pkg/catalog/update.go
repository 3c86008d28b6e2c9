package catalog

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// UpdateKind says what changed. It is used for logs and metrics; merging considers only the other
// fields of Update.
type UpdateKind uint32

// The kinds of updates.
const (
	KindOther UpdateKind = iota
	// KindDiscovered means that the first instance of a server answered a probe.
	KindDiscovered
	// KindDraining means that an instance reported that it takes no new work.
	KindDraining
	// KindDead means that an instance does not answer probes.
	KindDead
	// KindReturned means that a server answers again or has a new instance.
	KindReturned
	// KindContents means that an instance reports different contents or limits.
	KindContents
	// KindOperator means that an operator drained a server or cleared the drain.
	KindOperator
)

var kindNames = [...]string{"other", "discovered", "draining", "dead", "returned", "contents", "operator"}

// String returns the name used in logs.
func (k UpdateKind) String() string {
	if int(k) >= len(kindNames) {
		return kindNames[KindOther]
	}
	return kindNames[k]
}

// Update is what one node sends to others about one server: facts about one of its instances and
// the operators' mark.
//
// Facts only grow (see Instance and OperatorMark), so catalogs that apply the same updates in any
// order, once or repeatedly, reach the same state.
type Update struct {
	Server   target.ServerID
	Kind     UpdateKind
	Observer target.NodeID
	Instance Instance
	Operator OperatorMark
	// Change is set if only the index versions of a process changed. On the wire it then replaces
	// all other fields.
	Change VersionChange
}

// VersionChange states that a process serves different index versions than before while everything
// else that it reports is unchanged. It is small because a receiver that knows the process knows
// the rest.
type VersionChange struct {
	// Base is a digest that identifies the process and the unchanged part of its contents. Zero
	// means that the update is not a version change.
	Base uint64
	// Revision is the revision of the new contents, as in Instance.
	Revision uint64
	// Versions are the versions served now. All of them have the shards known for Base.
	Versions []target.Version
}

// Instance is what is known about one process of a server, from its start to its end. Two values
// with the same ID merge field by field.
type Instance struct {
	// ID is backend.Status.Instance. It is empty if the update does not concern an instance.
	ID string
	// Generation orders the instances of a server. An observer that finds a new instance gives it
	// the highest generation it knows plus one. The instance with the highest generation is the
	// current one. Zero means that the order is not known. When merging, the higher value wins.
	Generation uint64
	// Draining is set once the process reports that it drains. It is never cleared.
	Draining bool
	// Liveness is even while the process answers its probers and odd while it does not. When
	// merging, the higher value wins.
	Liveness uint64
	// Revision is the revision of Contents; zero if there are none. When merging, the higher value
	// wins.
	Revision uint64
	Contents *Contents
}

// Contents is what a process reports about itself. It is immutable.
type Contents struct {
	Service target.Service
	Ready   bool
	// Uptime is the time since the process started, as of sending. It is ignored when contents are
	// compared.
	Uptime      time.Duration
	Slots       int
	Connections int
	Indexes     []backend.Index
}

// OperatorMark is the drain state that operators requested for a server. The higher Sequence wins;
// of two equal ones, the one that drains wins.
type OperatorMark struct {
	// Sequence is zero if no operator has marked the server.
	Sequence uint64
	Drained  bool
	Author   string
}

// supersedes reports whether m replaces other.
func (m OperatorMark) supersedes(other OperatorMark) bool {
	if m.Sequence != other.Sequence {
		return m.Sequence > other.Sequence
	}
	if m.Drained != other.Drained {
		return m.Drained
	}
	return m.Author > other.Author
}

func newContents(status *backend.Status) *Contents {
	return &Contents{
		Service:     status.Service,
		Ready:       status.Ready,
		Uptime:      status.Uptime,
		Slots:       status.Slots,
		Connections: status.Connections,
		Indexes:     status.Indexes,
	}
}

// equal compares all fields except the uptime.
func (c *Contents) equal(other *Contents) bool {
	if c == nil || other == nil {
		return c == other
	}
	return c.Service == other.Service && c.Ready == other.Ready && c.Slots == other.Slots &&
		c.Connections == other.Connections && slices.EqualFunc(c.Indexes, other.Indexes, equalIndex)
}

func equalIndex(a, b backend.Index) bool {
	return a.Version == b.Version && slices.Equal(a.Shards, b.Shards)
}

// newestVersion returns the highest version, or zero.
func (c *Contents) newestVersion() target.Version {
	var newest target.Version
	if c == nil {
		return newest
	}
	for _, index := range c.Indexes {
		newest = max(newest, index.Version)
	}
	return newest
}
