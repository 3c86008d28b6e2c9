package keyspace_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/keyspace"
)

var _ = Describe("Split", func() {
	DescribeTable("divides the whole space without gap or overlap", func(count int) {
		ranges := keyspace.Split(count)
		Expect(ranges).To(HaveLen(count))
		var set keyspace.Set
		least, most := keyspace.Size, uint32(0)
		for _, part := range ranges {
			Expect(set.Add(part)).To(BeTrue())
			least, most = min(least, part.Width()), max(most, part.Width())
		}
		Expect(set.Full()).To(BeTrue())
		Expect(most - least).To(BeNumerically("<=", 1))
	}, Entry("one", 1), Entry("a few", 7), Entry("many", 220), Entry("a power of two", 256), Entry("every position", int(keyspace.Size)))

	It("refuses counts out of bounds", func() {
		Expect(keyspace.Split(0)).To(BeNil())
		Expect(keyspace.Split(-1)).To(BeNil())
		Expect(keyspace.Split(int(keyspace.Size) + 1)).To(BeNil())
	})
})

var _ = Describe("Position", func() {
	It("never changes, since back ends compute it too", func() {
		Expect(keyspace.Position("")).To(Equal(uint32(59801)))
		Expect(keyspace.Position("group1/item1")).To(BeNumerically("<", keyspace.Size))
	})
})

var _ = Describe("ParseRange", func() {
	DescribeTable("rejects", func(text string) {
		_, err := keyspace.ParseRange(text)
		Expect(err).To(HaveOccurred())
	}, Entry("nothing", ""), Entry("an empty range", "5-5"), Entry("a reversed range", "6-5"), Entry("one beyond the space", "0-65537"),
		Entry("a sign", "+1-5"), Entry("a leading zero", "01-5"), Entry("spaces", " 1-5"), Entry("more text", "1-5x"), Entry("overflow", "0-4294967297"))
})

// model is a set of positions as a bitmap.
type model struct {
	held  [keyspace.Size]bool
	width uint32
}

func (m *model) count(within keyspace.Range, held bool) uint32 {
	var count uint32
	for position := within.Start; position < within.End; position++ {
		if m.held[position] == held {
			count++
		}
	}
	return count
}

func (m *model) fill(within keyspace.Range) {
	for position := within.Start; position < within.End; position++ {
		m.held[position] = true
		m.width++
	}
}

// drawRange draws ranges that often touch or overlap each other.
func drawRange(t *rapid.T) keyspace.Range {
	bound := rapid.OneOf(
		rapid.Map(rapid.Uint32Range(0, 16), func(sixteenth uint32) uint32 { return sixteenth * keyspace.Size / 16 }),
		rapid.Uint32Range(0, keyspace.Size+2),
	)
	return keyspace.Range{Start: bound.Draw(t, "start"), End: bound.Draw(t, "end")}
}

func TestSetAgreesWithBitmap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set keyspace.Set
		var bitmap model
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				added := drawRange(t)
				want := added.Valid() && bitmap.count(added, true) == 0
				if set.Add(added) != want {
					t.Fatalf("Add(%s) is %v", added, !want)
				}
				if want {
					bitmap.fill(added)
				}
			},
			"ask": func(t *rapid.T) {
				asked := drawRange(t)
				if !asked.Valid() {
					return
				}
				if set.Overlaps(asked) != (bitmap.count(asked, true) > 0) || set.Covers(asked) != (bitmap.count(asked, false) == 0) {
					t.Fatalf("Overlaps(%s) is %v, Covers is %v", asked, set.Overlaps(asked), set.Covers(asked))
				}
				checkMissing(t, &bitmap, asked, set.Missing(asked))
			},
			"": func(t *rapid.T) {
				if set.Width() != bitmap.width || set.Full() != (set.Width() == keyspace.Size) {
					t.Fatalf("width %d", set.Width())
				}
				checkNormal(t, &bitmap, set.Ranges())
			},
		})
	})
}

// checkMissing checks that the gaps are exactly the positions not held.
func checkMissing(t *rapid.T, bitmap *model, asked keyspace.Range, gaps []keyspace.Range) {
	var width uint32
	last := asked.Start
	for i, gap := range gaps {
		if !asked.Covers(gap) || bitmap.count(gap, true) > 0 || i > 0 && gap.Start <= last {
			t.Fatalf("missing in %s: %v", asked, gaps)
		}
		last = gap.End
		width += gap.Width()
	}
	if width != bitmap.count(asked, false) {
		t.Fatalf("missing in %s: %v", asked, gaps)
	}
}

// checkNormal checks that ranges are sorted, disjoint and not adjacent.
func checkNormal(t *rapid.T, bitmap *model, ranges []keyspace.Range) {
	for i, held := range ranges {
		if !held.Valid() || bitmap.count(held, false) > 0 || i > 0 && held.Start <= ranges[i-1].End {
			t.Fatalf("ranges %v", ranges)
		}
	}
}

func FuzzParseRange(f *testing.F) {
	for _, seed := range []string{"0-65536", "1-2", "0-0", "-1-5", "1-5-7", "1 -5", "١-٥", "0x1-5"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := keyspace.ParseRange(text)
		if err != nil {
			return
		}
		if !parsed.Valid() || parsed.String() != text || strings.TrimSpace(text) != text {
			t.Fatalf("%q was read as %s", text, parsed)
		}
	})
}
