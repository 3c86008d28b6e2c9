package owner

import (
	"slices"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// maxSegments bounds the parts into which the nodes of a region are divided, and so the nodes that an
// owner tells itself: the connections to them stay open.
const maxSegments = 40

// parts returns the other nodes of the region in parts of about even size, alike at all nodes that
// know the same ones, and the index of this node's own part.
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

// heads chooses the node of each part that is told first and tells the others. The same ones are
// chosen until they do not answer, so that few connections are used.
type relays struct {
	// silent are the nodes that did not answer.
	silent map[peer.Address]bool
}

// choose returns one node of each part.
func (h *relays) choose(segments [][]peer.Address) []peer.Address {
	var chosen []peer.Address
	for _, segment := range segments {
		if len(segment) == 0 {
			continue
		}
		index := slices.IndexFunc(segment, func(address peer.Address) bool { return !h.silent[address] })
		chosen = append(chosen, segment[max(0, index)])
	}
	return chosen
}

// note takes which of the chosen nodes have answered.
func (h *relays) recordAnswers(chosen, answered []peer.Address, segments [][]peer.Address) {
	silent := make(map[peer.Address]bool)
	for _, segment := range segments {
		count := 0
		for _, address := range segment {
			isSilent := h.silent[address]
			if slices.Contains(chosen, address) {
				isSilent = !slices.Contains(answered, address)
			}
			if isSilent {
				silent[address] = true
				count++
			}
		}
		if count == len(segment) {
			// The whole part is silent: all of it is tried anew.
			for _, address := range segment {
				delete(silent, address)
			}
		}
	}
	h.silent = silent
}
