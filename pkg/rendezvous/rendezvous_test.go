package rendezvous

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func names(prefix string, count int) []string {
	list := make([]string, 0, count)
	for number := range count {
		list = append(list, fmt.Sprintf("%s%d", prefix, number))
	}
	return list
}

// TestInTopAgreesWithTop compares the two ways to ask the same question.
func TestInTopAgreesWithTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := names("node", rapid.IntRange(1, 40).Draw(t, "candidates"))
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(0, 5).Draw(t, "n")
		set := NewSet(candidates)
		top := map[string]bool{}
		for _, candidate := range set.Top(key, n) {
			top[candidate] = true
		}
		for _, candidate := range candidates {
			if set.InTop(key, candidate, n) != top[candidate] {
				t.Fatalf("InTop(%q) differs from Top", candidate)
			}
		}
	})
}

// TestRemovalMovesOnlyTheRemoved removes one candidate: every other ranking
// keeps its order.
func TestRemovalMovesOnlyTheRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := names("node", rapid.IntRange(2, 30).Draw(t, "candidates"))
		removed := rapid.IntRange(0, len(candidates)-1).Draw(t, "removed")
		key := rapid.String().Draw(t, "key")
		var want []string
		for _, candidate := range Rank(key, candidates) {
			if candidate != candidates[removed] {
				want = append(want, candidate)
			}
		}
		rest := append(append([]string(nil), candidates[:removed]...), candidates[removed+1:]...)
		if got := Rank(key, rest); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestTopIsEven(t *testing.T) {
	const keys, candidates = 100_000, 20
	set := NewSet(names("node", candidates))
	counts := map[string]int{}
	for _, key := range names("key", keys) {
		counts[set.Top(key, 1)[0]]++
	}
	for candidate, count := range counts {
		if deviation := math.Abs(float64(count)/(keys/candidates) - 1); deviation > 0.06 {
			t.Errorf("%s has %d keys of a mean of %d", candidate, count, keys/candidates)
		}
	}
}

func TestTopWeightedFollowsWeights(t *testing.T) {
	candidates := []Weighted[string]{{"a", 1}, {"b", 3}, {"never", 0}}
	counts := map[string]int{}
	const keys = 40_000
	for _, key := range names("key", keys) {
		counts[TopWeighted(key, candidates, 1)[0]]++
	}
	if share := float64(counts["b"]) / keys; math.Abs(share-0.75) > 0.01 || counts["never"] != 0 {
		t.Fatalf("counts %v", counts)
	}
}
