package directory

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/directory/directorypb"
)

// FuzzChanges checks that no message of another node makes this one fail, allocate out of
// proportion or go back, in its revision or in that of any key.
func FuzzChanges(f *testing.F) {
	whole := &directorypb.ChangesReply{Revision: 9, Full: true, Gaps: []*directorypb.Gap{{From: 3, To: 5}}, Items: []*directorypb.Item{
		{Key: "a", Revision: 8, Value: []byte("x")}, {Key: "b", Revision: 2, Gone: true}, {Key: "c", Revision: 12},
	}}
	encoded, err := whole.MarshalVT()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	// A value of 1 MB, as many empty items as fit into 1 MB, and nested groups.
	whole.Items[0].Value = make([]byte, 1<<20)
	if encoded, err = whole.MarshalVT(); err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(bytes.Repeat([]byte{0x1a, 0}, 1<<19))
	f.Add(bytes.Repeat([]byte{0x4b}, 1<<20))
	f.Fuzz(func(t *testing.T, body []byte) {
		before := allocated()
		reply := &directorypb.ChangesReply{}
		if reply.UnmarshalVT(body) != nil {
			return
		}
		listener := &observer{state: make(map[string]uint64)}
		known := newReplica(listener)
		now := time.Now()
		known.apply(Batch{Revision: 7, Entries: []Entry{{Key: "a", Revision: 6}, {Key: "b", Revision: 7}}}, wholeState, now)
		receiver := &Peers{follower: &Follower{source: newFakeStore()}}
		batch := Batch{Revision: reply.Revision}
		for _, each := range reply.Gaps {
			batch.gaps = append(batch.gaps, gap{from: each.From, to: each.To})
		}
		for _, item := range reply.Items {
			batch.Entries = append(batch.Entries, receiver.decode(item))
		}
		known.apply(batch, receiver.coverageOf(reply), now)
		if known.revision() < 7 {
			t.Fatalf("the replica went back to revision %d", known.revision())
		}
		for key, minRevision := range map[string]uint64{"a": 6, "b": 7} {
			if entry, isHeld := known.entries[key]; isHeld && entry.Revision < minRevision {
				t.Fatalf("%s went back to revision %d", key, entry.Revision)
			}
		}
		if taken := allocated() - before; taken > baseFuzzMemory+fuzzMemoryPerByte*uint64(len(body)) {
			t.Fatalf("%d bytes allocated for a message of %d bytes", taken, len(body))
		}
	})
}

// Bounds of the total memory allocated to read a message. An empty item takes two bytes on the
// wire and, once decoded, becomes an entry in several lists.
const (
	baseFuzzMemory    = 256 << 10
	fuzzMemoryPerByte = 1 << 10
)

// allocated returns the total number of bytes allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
