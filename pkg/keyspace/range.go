// Package keyspace describes the space of keys that an index is partitioned
// over, and exact arithmetic on parts of it.
//
// Every index of every service uses the same space, the integers from 0 up to
// Size (exclusive). A key belongs to the position that Position gives. Coverage
// is counted in positions, so that it stays exact when shards are split or
// merged. The types of this package are values; Set is not safe for concurrent
// use.
package keyspace

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Size is the number of positions in the key space.
const Size uint32 = 1 << 16

// Range is the half-open interval [Start, End) of positions.
type Range struct {
	Start uint32 `json:"start" yaml:"start"`
	End   uint32 `json:"end" yaml:"end"`
}

// Full is the range that holds every position.
var Full = Range{Start: 0, End: Size}

// Position returns the position that a key belongs to.
func Position(key string) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(Size))
}

// Split divides the whole key space into count ranges whose widths differ by
// at most one position. It returns nil unless 1 <= count <= Size.
func Split(count int) []Range {
	if count < 1 || uint32(count) > Size {
		return nil
	}
	ranges := make([]Range, 0, count)
	for i := range count {
		start := uint32(uint64(Size) * uint64(i) / uint64(count))
		end := uint32(uint64(Size) * uint64(i+1) / uint64(count))
		ranges = append(ranges, Range{Start: start, End: end})
	}
	return ranges
}

// Valid reports whether the range is not empty and lies inside the key space.
func (r Range) Valid() bool { return r.Start < r.End && r.End <= Size }

// Width returns the number of positions in the range.
func (r Range) Width() uint32 {
	if r.End <= r.Start {
		return 0
	}
	return r.End - r.Start
}

// Contains reports whether position lies in the range.
func (r Range) Contains(position uint32) bool { return position >= r.Start && position < r.End }

// Covers reports whether every position of other lies in the range.
func (r Range) Covers(other Range) bool { return r.Start <= other.Start && other.End <= r.End }

// Overlaps reports whether the two ranges share a position.
func (r Range) Overlaps(other Range) bool { return r.Start < other.End && other.Start < r.End }

// String formats the range as "start-end", the form used on the wire.
func (r Range) String() string {
	var buffer [24]byte // room for two numbers of 10 digits
	text := strconv.AppendUint(buffer[:0], uint64(r.Start), 10)
	text = append(text, '-')
	text = strconv.AppendUint(text, uint64(r.End), 10)
	return string(text)
}

// ParseRange reads the form that String writes and rejects an invalid range.
func ParseRange(text string) (Range, error) {
	var parsed Range
	var rest string
	count, _ := fmt.Sscanf(text, "%d-%d%s", &parsed.Start, &parsed.End, &rest)
	if count != 2 || !parsed.Valid() || parsed.String() != text {
		return Range{}, fmt.Errorf("key range %q: want start-end with 0 <= start < end <= %d", text, Size)
	}
	return parsed, nil
}

// Set is a set of positions, kept as sorted, disjoint, non-adjacent ranges.
// The zero value is the empty set.
type Set struct {
	ranges []Range
	width  uint32
}

// Width returns the number of positions in the set.
func (s *Set) Width() uint32 { return s.width }

// Full reports whether the set holds every position.
func (s *Set) Full() bool { return s.width == Size }

// Ranges returns the ranges of the set in ascending order. The caller owns the
// returned slice.
func (s *Set) Ranges() []Range { return append([]Range(nil), s.ranges...) }

// Overlaps reports whether any position of r is in the set.
func (s *Set) Overlaps(r Range) bool {
	index := s.firstEndingAfter(r.Start)
	return index < len(s.ranges) && s.ranges[index].Overlaps(r)
}

// Covers reports whether every position of r is in the set.
func (s *Set) Covers(r Range) bool {
	index := s.firstEndingAfter(r.Start)
	return index < len(s.ranges) && s.ranges[index].Covers(r)
}

// Add inserts r if it is valid and no position of it is in the set yet, and
// reports whether it did. A range that overlaps the set is refused as a whole,
// so that nothing is ever counted twice.
func (s *Set) Add(r Range) bool {
	if !r.Valid() || s.Overlaps(r) {
		return false
	}
	index := s.firstEndingAfter(r.Start)
	s.width += r.Width()
	joinsLeft := index > 0 && s.ranges[index-1].End == r.Start
	joinsRight := index < len(s.ranges) && s.ranges[index].Start == r.End
	switch {
	case joinsLeft && joinsRight:
		s.ranges[index-1].End = s.ranges[index].End
		s.ranges = append(s.ranges[:index], s.ranges[index+1:]...)
	case joinsLeft:
		s.ranges[index-1].End = r.End
	case joinsRight:
		s.ranges[index].Start = r.Start
	default:
		s.ranges = append(s.ranges, Range{})
		copy(s.ranges[index+1:], s.ranges[index:])
		s.ranges[index] = r
	}
	return true
}

// Missing returns the ranges inside within that the set does not hold, in
// ascending order.
func (s *Set) Missing(within Range) []Range {
	var missing []Range
	next := within.Start
	for index := s.firstEndingAfter(within.Start); index < len(s.ranges); index++ {
		held := s.ranges[index]
		if held.Start >= within.End {
			break
		}
		if held.Start > next {
			missing = append(missing, Range{Start: next, End: held.Start})
		}
		next = held.End
	}
	if next < within.End {
		missing = append(missing, Range{Start: next, End: within.End})
	}
	return missing
}

// firstEndingAfter returns the index of the first range whose end lies after
// position.
func (s *Set) firstEndingAfter(position uint32) int {
	return sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].End > position })
}
