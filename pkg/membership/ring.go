package membership

import (
	"github.com/bramblemast/bramblemast/pkg/ring"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// zoneRing is the members of this node's zone that are not dead, in the order of their ranks and
// beginning after this node. Each member has the same predecessors at all nodes of a zone.
type zoneRing struct {
	members []*record
	// version is the version of the table from which members were ordered.
	version uint64
}

// update orders the members again if the table has changed.
func (r *zoneRing) update(t *table) {
	if r.version == t.version {
		return
	}
	r.version = t.version
	r.members = ring.After(t.others, t.self, (*record).outranks)
}

// following returns the IDs of the members that follow this node.
func (r *zoneRing) following() []target.NodeID {
	ids := make([]target.NodeID, 0, len(r.members))
	for _, each := range r.members {
		ids = append(ids, each.member.ID)
	}
	return ids
}
