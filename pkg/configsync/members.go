package configsync

import (
	"cmp"
	"slices"

	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// member is an alive peer with its hash for one subject, a document or a prefix, which determines
// its position in the order for that subject. This is rendezvous hashing: the order differs for each
// subject, and a member that joins or leaves does not change the order of the others.
type member struct {
	Peer
	hash uint64
}

// memberHash returns the hash by which a member is ordered for a subject.
func memberHash(subject uint64, id target.NodeID) uint64 {
	return rendezvous.ScoreHashed(subject, string(id))
}

// zoneOrder returns the alive members of this node's zone, itself included, in the order for a
// subject.
func (r *Replica) zoneOrder(subject uint64) []member {
	members := []member{{Peer: r.options.Self, hash: memberHash(subject, r.options.Self.ID)}}
	for _, known := range r.alivePeers() {
		if known.Zone == r.options.Self.Zone {
			members = append(members, member{Peer: known, hash: memberHash(subject, known.ID)})
		}
	}
	sortMembers(members)
	return members
}

// otherZones returns the known alive members of each other zone in the order for a subject.
func (r *Replica) otherZones(subject uint64) map[target.Zone][]member {
	zones := map[target.Zone][]member{}
	for _, known := range r.alivePeers() {
		if known.Zone != r.options.Self.Zone {
			zones[known.Zone] = append(zones[known.Zone], member{Peer: known, hash: memberHash(subject, known.ID)})
		}
	}
	for _, members := range zones {
		sortMembers(members)
	}
	return zones
}

// alivePeers returns the alive peers, excluding this node.
func (r *Replica) alivePeers() []Peer {
	var alive []Peer
	for _, known := range r.options.Peers() {
		if known.Alive && known.ID != r.options.Self.ID {
			alive = append(alive, known)
		}
	}
	return alive
}

func sortMembers(members []member) {
	slices.SortFunc(members, func(one, other member) int {
		return cmp.Or(cmp.Compare(one.hash, other.hash), cmp.Compare(one.ID, other.ID))
	})
}

// randomPeer picks a random alive peer, from this node's zone or, with probability otherZoneShare,
// from another. It returns false if there is no alive peer.
func (r *Replica) randomPeer() (Peer, bool) {
	const otherZoneShare = 0.2
	var sameZone, elsewhere []Peer
	for _, known := range r.alivePeers() {
		if known.Zone == r.options.Self.Zone {
			sameZone = append(sameZone, known)
		} else {
			elsewhere = append(elsewhere, known)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := sameZone
	if len(sameZone) == 0 || (len(elsewhere) > 0 && r.random.Float64() < otherZoneShare) {
		candidates = elsewhere
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return candidates[r.random.IntN(len(candidates))], true
}
