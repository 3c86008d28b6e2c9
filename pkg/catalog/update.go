package catalog

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// UpdateKind says what changed. It is for logs and metrics: merging looks only
// at the other fields of Update.
type UpdateKind uint32

// The kinds of news.
const (
	KindOther UpdateKind = iota
	// KindDiscovered: the first instance of a server was probed.
	KindDiscovered
	// KindDraining: an instance said that it takes no new work.
	KindDraining
	// KindDead: an instance does not answer probes.
	KindDead
	// KindReturned: a server answers again, or has a new instance.
	KindReturned
	// KindContents: an instance reports other contents or limits.
	KindContents
	// KindOperator: an operator drained a server or took that back.
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

// Update is what one node tells others about one server: facts about one of its
// instances and the operators' mark.
//
// Facts only grow (see Instance and OperatorMark), so a catalog that applies
// the same news in any order, once or often, ends in the same state.
type Update struct {
	Server   target.ServerID
	Kind     UpdateKind
	Observer target.NodeID
	Instance Instance
	Operator OperatorMark
	// Change is set if the news is no more than other index versions of a
	// process. On the wire it then takes the place of all other fields.
	Change VersionChange
}

// VersionChange tells that a process serves other index versions than before,
// while all else that it reports is the same. It is small: whoever knows the
// process knows the rest.
type VersionChange struct {
	// Base names the process and the part of its contents that is the same, by
	// a digest of them; zero if there is no change of this kind.
	Base uint64
	// Revision numbers the new contents, as in Instance.
	Revision uint64
	// Versions are served now. All of them have the shards known for Base.
	Versions []target.Version
}

// Instance is what is known of one process of a server, from its start to its
// end. Two of them with the same ID merge field by field.
type Instance struct {
	// ID is backend.Status.Instance. Empty if the news is not about one.
	ID string
	// Generation orders the instances of a server: an observer that finds a new
	// one gives it one more than the highest that it knows. The highest is the
	// current instance. Zero means that the order is not known. The greater
	// wins.
	Generation uint64
	// Draining is true once the process said that it drains. It is never taken
	// back.
	Draining bool
	// Liveness is even while the process answers its probers and odd while it
	// does not. The greater wins.
	Liveness uint64
	// Revision numbers Contents; zero if there are none. The greater wins.
	Revision uint64
	Contents *Contents
}

// Contents is what a process reports about itself. It is immutable.
type Contents struct {
	Service target.Service
	Ready   bool
	// Uptime is the time since the process started, when the news was sent. It
	// does not count when contents are compared.
	Uptime      time.Duration
	Slots       int
	Connections int
	Indexes     []backend.Index
}

// OperatorMark is what operators want of a server. The greater Sequence wins;
// of two equal ones the one that drains.
type OperatorMark struct {
	// Sequence is zero if no operator ever marked the server.
	Sequence uint64
	Drained  bool
	Author   string
}

// supersedes reports whether m is to replace other.
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

// equal compares all but the uptime.
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
