package owner

import (
	"slices"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// maxSegments bounds the segments into which the nodes of a region are divided, and so the nodes to
// which an owner sends its measurements itself: the connections to them stay open.
const maxSegments = 40

// segments returns the other nodes of the region in segments of about equal size, and the index of
// this node's own segment. All nodes that know the same nodes compute the same segments.
func (r *Roster) segments() ([][]peer.Address, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var names []string
	for name, node := range r.byName {
		if directory.SameRegion(r.regions, node.Zone, r.local.Zone) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	count, own := min(maxSegments, len(names)), 0
	segments := make([][]peer.Address, count)
	for index := range segments {
		for _, name := range names[index*len(names)/count : (index+1)*len(names)/count] {
			if name == r.local.Name {
				own = index
				continue
			}
			segments[index] = append(segments[index], peer.Address(r.byName[name].PeerAddress))
		}
	}
	return segments, own
}

// relays chooses one node of each segment that receives a message first and forwards it to the
// others. It keeps a node until that does not answer, so that few connections are used.
type relays struct {
	// silent holds the nodes that did not answer.
	silent map[peer.Address]bool
}

// choose returns one node of each segment that has any.
func (r *relays) choose(segments [][]peer.Address) []peer.Address {
	var chosen []peer.Address
	for _, segment := range segments {
		if len(segment) == 0 {
			continue
		}
		index := slices.IndexFunc(segment, func(address peer.Address) bool { return !r.silent[address] })
		chosen = append(chosen, segment[max(0, index)])
	}
	return chosen
}

// recordAnswers records which of the chosen nodes have answered.
func (r *relays) recordAnswers(chosen, answered []peer.Address, segments [][]peer.Address) {
	silent := make(map[peer.Address]bool)
	for _, segment := range segments {
		count := 0
		for _, address := range segment {
			isSilent := r.silent[address]
			if slices.Contains(chosen, address) {
				isSilent = !slices.Contains(answered, address)
			}
			if isSilent {
				silent[address] = true
				count++
			}
		}
		if count == len(segment) {
			// No node of the segment answers: start over with all of them.
			for _, address := range segment {
				delete(silent, address)
			}
		}
	}
	r.silent = silent
}
