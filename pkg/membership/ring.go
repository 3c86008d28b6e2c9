package membership

import (
	"github.com/bramblemast/bramblemast/pkg/ring"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// zoneRing is the members of this node's zone that are not dead, in the order of the ring and
// beginning after this node. Each member has the same predecessors at all nodes of a zone.
type zoneRing struct {
	members []target.NodeID
	// version is the version of the table from which members were ordered.
	version uint64
}

// update orders the members again if the table has changed.
func (r *zoneRing) update(t *table) {
	if r.version == t.version {
		return
	}
	r.version = t.version
	ids := make([]target.NodeID, 0, len(t.others))
	for _, other := range t.others {
		ids = append(ids, other.member.ID)
	}
	r.members = ring.After(ids, t.self.member.ID)
}
