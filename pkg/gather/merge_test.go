package gather_test

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/gather"
)

// TestTheGreatestRecordsOfAllParts compares with a plain model: equal records
// all count, and what is shorter than a record is none.
func TestTheGreatestRecordsOfAllParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byteOf := rapid.SampledFrom([]byte{0, 1, 0x7f, 0x80, 0xff})
		bodies := rapid.SliceOfN(rapid.SliceOfN(byteOf, 0, 100), 0, 6).Draw(t, "bodies")
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		var records [][]byte
		for _, body := range bodies {
			for at := 0; at+gather.RecordSize <= len(body); at += gather.RecordSize {
				records = append(records, body[at:at+gather.RecordSize])
			}
		}
		slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(records[:min(limit, len(records))], nil)
		if got := gather.Greatest(bodies, limit); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}
