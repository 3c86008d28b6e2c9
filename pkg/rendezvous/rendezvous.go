// Package rendezvous assigns duties and servers to nodes by rendezvous
// (highest random weight) hashing: every node that knows the same candidates
// computes the same assignment, without talking to the others, and a change of
// one candidate moves only what that candidate had.
//
// Top and TopWeighted rank candidates for a key. Set answers the same question
// fast for many keys. Subset chooses the servers that a node connects to.
//
// The functions are pure; a Set is immutable and safe for concurrent use.
package rendezvous

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a candidate for a key; the highest wins.
func Score(key, candidate string) uint64 {
	return combine(xxhash.Sum64String(key), xxhash.Sum64String(candidate))
}

// ScoreHashed returns the score of a candidate for a key that is a hash itself.
func ScoreHashed(key uint64, candidate string) uint64 {
	return combine(key, xxhash.Sum64String(candidate))
}

// combine mixes two hashes into one. It is the finalizer of splitmix64 over a
// sum that is not symmetric in its arguments.
func combine(key, candidate uint64) uint64 {
	const (
		goldenGamma = 0x9e3779b97f4a7c15
		firstMix    = 0xbf58476d1ce4e5b9
		secondMix   = 0x94d049bb133111eb
	)
	value := key*goldenGamma + candidate
	value = (value ^ value>>30) * firstMix
	value = (value ^ value>>27) * secondMix
	return value ^ value>>31
}

// Top returns the n candidates with the highest scores for key, best first;
// all of them, ranked, if there are fewer. Candidates are distinct.
func Top[T ~string](key string, candidates []T, n int) []T {
	return NewSet(candidates).Top(key, n)
}

// Rank returns all candidates, best first.
func Rank[T ~string](key string, candidates []T) []T {
	return Top(key, candidates, len(candidates))
}

// Weighted is a candidate that wins a share of the keys in proportion to its
// weight.
type Weighted[T ~string] struct {
	ID T
	// Weight is above 0; a candidate with another weight is never chosen.
	Weight float64
}

// TopWeighted returns the n best candidates for key by weighted rendezvous
// hashing, best first.
func TopWeighted[T ~string](key string, candidates []Weighted[T], n int) []T {
	type scored struct {
		id    T
		score float64
	}
	ranked := make([]scored, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.Weight > 0 {
			score := weightedScore(Score(key, string(candidate.ID)), candidate.Weight)
			ranked = append(ranked, scored{id: candidate.ID, score: score})
		}
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].score != ranked[j].score {
			return ranked[i].score > ranked[j].score
		}
		return ranked[i].id < ranked[j].id
	})
	top := make([]T, 0, min(n, len(ranked)))
	for _, candidate := range ranked[:min(n, len(ranked))] {
		top = append(top, candidate.id)
	}
	return top
}

// weightedScore turns a uniform hash into an exponential variate of the given
// rate; the greatest wins with a probability in proportion to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	const mantissaBits = 53
	uniform := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(uniform)
}

// Set is a fixed set of candidates with their hashes.
type Set[T ~string] struct {
	candidates []hashed[T]
}

type hashed[T ~string] struct {
	id   T
	hash uint64
}

// NewSet returns a set of distinct candidates.
func NewSet[T ~string](candidates []T) *Set[T] {
	set := &Set[T]{candidates: make([]hashed[T], 0, len(candidates))}
	for _, id := range candidates {
		set.candidates = append(set.candidates, hashed[T]{id: id, hash: xxhash.Sum64String(string(id))})
	}
	return set
}

// Len returns the number of candidates.
func (s *Set[T]) Len() int { return len(s.candidates) }

// Top returns the n best candidates for key, best first.
func (s *Set[T]) Top(key string, n int) []T {
	type scored struct {
		id    T
		score uint64
	}
	keyHash := xxhash.Sum64String(key)
	ranked := make([]scored, 0, len(s.candidates))
	for _, candidate := range s.candidates {
		ranked = append(ranked, scored{id: candidate.id, score: combine(keyHash, candidate.hash)})
	}
	sort.Slice(ranked, func(i, j int) bool {
		return before(ranked[i].score, ranked[i].id, ranked[j].score, ranked[j].id)
	})
	top := make([]T, 0, min(n, len(ranked)))
	for _, candidate := range ranked[:min(n, len(ranked))] {
		top = append(top, candidate.id)
	}
	return top
}

// InTop reports whether candidate is among the n best for key. It stops at the
// n-th better candidate, so that most answers need few of them.
func (s *Set[T]) InTop(key string, candidate T, n int) bool {
	keyHash := xxhash.Sum64String(key)
	own := combine(keyHash, xxhash.Sum64String(string(candidate)))
	better := 0
	for _, other := range s.candidates {
		if other.id == candidate {
			continue
		}
		if before(combine(keyHash, other.hash), other.id, own, candidate) {
			better++
		}
		if better >= n {
			return false
		}
	}
	return n > 0
}

// before orders by score, highest first, and equal scores by id.
func before[T ~string](score uint64, id T, otherScore uint64, otherID T) bool {
	if score != otherScore {
		return score > otherScore
	}
	return id < otherID
}
