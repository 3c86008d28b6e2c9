// Package ring orders the members of a group in a cycle that all of them compute alike. A member that
// delivers a message to those that follow it there gives each of them a fixed sender, so that a
// message that reaches any member reaches all. The package has no state.
package ring

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// After returns the members in the order of the ring, beginning with the one that follows self. The
// order is that of the hashes of their IDs, so that neighbours are seldom in the same zone. Self must
// not be among the members.
func After[ID ~string](members []ID, self ID) []ID {
	ranked := make([]rankedID[ID], 0, len(members))
	for _, id := range members {
		ranked = append(ranked, rank(id))
	}
	slices.SortFunc(ranked, compare)
	first, _ := slices.BinarySearchFunc(ranked, rank(self), compare)
	ordered := make([]ID, 0, len(members))
	for _, each := range slices.Concat(ranked[first:], ranked[:first]) {
		ordered = append(ordered, each.id)
	}
	return ordered
}

// rankedID is an ID with its hash.
type rankedID[ID ~string] struct {
	id   ID
	hash uint64
}

func rank[ID ~string](id ID) rankedID[ID] {
	return rankedID[ID]{id: id, hash: xxhash.Sum64String(string(id))}
}

// compare orders IDs by falling hashes.
func compare[ID ~string](one, other rankedID[ID]) int {
	return cmp.Or(cmp.Compare(other.hash, one.hash), cmp.Compare(other.id, one.id))
}
