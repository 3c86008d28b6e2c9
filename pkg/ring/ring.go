// Package ring orders the members of a group in a cycle that all of them compute alike. A member that
// delivers a message to those that follow it there gives each of them a fixed sender, so that a
// message that reaches any member reaches all. The package has no state.
package ring

import "slices"

// After returns the members in the order of the ring, beginning with the one that follows self.
// The function outranks must be a strict total order of the members and self, the same at each of
// them. Self must not be among the members.
func After[Member any](members []Member, self Member, outranks func(one, other Member) bool) []Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(one, other Member) int {
		oneFollows, otherFollows := outranks(self, one), outranks(self, other)
		switch {
		case oneFollows != otherFollows && oneFollows:
			return -1
		case oneFollows != otherFollows:
			return 1
		case outranks(one, other):
			return -1
		case outranks(other, one):
			return 1
		default:
			return 0
		}
	})
	return ordered
}
