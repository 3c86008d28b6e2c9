package ring

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func greater(one, other int) bool { return one > other }

func TestAfterBeginsWithTheNextMember(t *testing.T) {
	if ordered := After([]int{9, 1, 7, 3}, 5, greater); !slices.Equal(ordered, []int{3, 1, 9, 7}) {
		t.Errorf("got %v", ordered)
	}
}

// TestEachMemberFollowsTheOneBeforeIt checks that all members see the same cycle: the first member
// after self has self as the last one after it.
func TestEachMemberFollowsTheOneBeforeIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.IntRange(0, 1000), 2, 20, rapid.ID).Draw(t, "members")
		without := func(self int) []int {
			return slices.DeleteFunc(slices.Clone(members), func(each int) bool { return each == self })
		}
		for _, self := range members {
			next := After(without(self), self, greater)[0]
			following := After(without(next), next, greater)
			if last := following[len(following)-1]; last != self {
				t.Fatalf("%d is followed by %d, which is preceded by %d", self, next, last)
			}
		}
	})
}
