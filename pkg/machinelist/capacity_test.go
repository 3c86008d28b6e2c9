package machinelist

import (
	"bytes"
	"fmt"
	"testing"
)

// BenchmarkParseDesignSize reads the list of the size to design for: 90,000
// servers in groups of four.
func BenchmarkParseDesignSize(b *testing.B) {
	const servers, groupSize = 90_000, 4
	address := func(number int) string {
		return fmt.Sprintf("10.%d.%d.%d:9000", number>>16, number>>8&255, number&255)
	}
	var document bytes.Buffer
	document.WriteByte('[')
	for first := 0; first < servers; first += groupSize {
		if first > 0 {
			document.WriteByte(',')
		}
		fmt.Fprintf(&document, `{"targets":[%q,%q,%q,%q],`,
			address(first), address(first+1), address(first+2), address(first+3))
		fmt.Fprintf(&document,
			`"labels":{"zone":"zone%d","region":"region%d","service":"service%d","group":"group%d","state":"live"}}`,
			first%17, first%8, first%12, first%220)
	}
	document.WriteByte(']')
	b.SetBytes(int64(document.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if list, err := Parse(document.Bytes()); err != nil || len(list) != servers {
			b.Fatalf("read %d of %d servers: %v", len(list), servers, err)
		}
	}
	b.ReportMetric(float64(document.Len())/servers, "B/server")
}

// BenchmarkDeltaDesignSize compares two lists of the size to design for, and
// applies a change of one server to such a list.
func BenchmarkDeltaDesignSize(b *testing.B) {
	list := testServers(0, 90_000)
	after := changed(list, 1)
	b.Run("difference", func(b *testing.B) {
		for b.Loop() {
			if delta := difference(list, after); delta.Len() != 3 {
				b.Fatal(delta.Len())
			}
		}
	})
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			list.digest()
		}
	})
	b.Run("apply", func(b *testing.B) {
		delta := difference(list, after)
		for b.Loop() {
			delta.apply(list)
		}
	})
}
