package gather

import (
	"bytes"
	"slices"
	"testing"
)

// FuzzGreatest compares the merge with sorting everything.
func FuzzGreatest(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdefrest"), []byte("ffffffffffffffff"), 2)
	f.Add([]byte{}, []byte("short"), 0)
	f.Fuzz(func(t *testing.T, first, second []byte, count int) {
		const size = 16
		count = min(max(count, 0), 1000)
		var records [][]byte
		for _, body := range [][]byte{first, second} {
			for ; len(body) >= size; body = body[size:] {
				records = append(records, body[:size])
			}
		}
		slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(records[:min(count, len(records))], nil)
		if got := Greatest([][]byte{first, second}, count); !bytes.Equal(got, want) {
			t.Fatalf("got %q, wanted %q", got, want)
		}
	})
}
