package ring

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestAfterBeginsWithTheNextMember(t *testing.T) {
	if ordered := After([]string{"a", "b", "d", "e"}, "c"); !slices.Equal(ordered, []string{"b", "d", "e", "a"}) {
		t.Errorf("got %v", ordered)
	}
}

// TestEachMemberFollowsTheOneBeforeIt checks that all members see the same cycle: the first member
// after self has self as the last one after it.
func TestEachMemberFollowsTheOneBeforeIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.String(), 2, 20, rapid.ID).Draw(t, "members")
		without := func(self string) []string {
			return slices.DeleteFunc(slices.Clone(members), func(each string) bool { return each == self })
		}
		for _, self := range members {
			next := After(without(self), self)[0]
			following := After(without(next), next)
			if last := following[len(following)-1]; last != self {
				t.Fatalf("%q is followed by %q, which is preceded by %q", self, next, last)
			}
		}
	})
}
