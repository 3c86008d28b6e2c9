package catalog

import (
	"cmp"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
)

// TestUpdatesRoundTrip guards against loss of data on the wire: it encodes and decodes arbitrary
// updates.
func TestUpdatesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var batch []Update
		for range rapid.IntRange(1, 4).Draw(t, "count") {
			batch = append(batch, drawUpdateOrChange(t))
		}
		// Version changes come last on the wire.
		slices.SortStableFunc(batch, func(a, b Update) int { return cmp.Compare(a.Change.Base, b.Change.Base) })
		encoded, err := EncodeUpdates(batch)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeUpdates(encoded)
		if err != nil || !reflect.DeepEqual(batch, decoded) {
			t.Fatalf("sent %+v, got %+v, %v", batch, decoded, err)
		}
	})
}

// TestEqualShardsAreSentOnce checks that a new index version with unchanged shards is encoded
// without repeating them.
func TestEqualShardsAreSentOnce(t *testing.T) {
	var shards []backend.Shard
	for _, part := range keyspace.Split(16) {
		shards = append(shards, backend.Shard{Group: "group", Range: part})
	}
	contents := &Contents{Service: testService, Indexes: []backend.Index{{Version: 1, Shards: shards}}}
	one := len(contentsKey(contents))
	contents.Indexes = append(contents.Indexes, backend.Index{Version: 2, Shards: shards})
	const shortForm = 8
	if two := len(contentsKey(contents)); two > one+shortForm {
		t.Fatalf("a version with unchanged shards takes %d bytes", two-one)
	}
	converted, err := contentsFromProto(contentsToProto(contents))
	if err != nil || !converted.equal(contents) {
		t.Fatalf("got %+v, %v", converted, err)
	}
}

// TestUpdateSizes bounds the wire size of an update about one server that holds one part. A drain
// must not carry contents.
func TestUpdateSizes(t *testing.T) {
	var sent []Update
	c := New(Options{Node: "4f9c2b7e@10.1.2.3:7000", Zone: "zone", OnUpdate: func(update Update) { sent = append(sent, update) }})
	c.ReplaceMachines(listOf(1))
	c.ReportProbe(serverID(0), time.Now(), statusOf(0, "5f0c7a52", false, 1), nil)
	c.ReportProbe(serverID(0), time.Now(), statusOf(0, "5f0c7a52", false, 2), nil)
	c.ReportHints(serverID(0), backend.Hints{Draining: true, Instance: "5f0c7a52"})
	if len(sent) != 3 {
		t.Fatalf("sent %+v", sent)
	}
	for _, update := range sent {
		size := ToProto(&update).SizeVT()
		t.Logf("%s: %d B", update.Kind, size)
		const bound = 150
		if size > bound {
			t.Errorf("%s takes %d bytes", update.Kind, size)
		}
	}
	if sent[2].Instance.Contents != nil {
		t.Error("an update about a drain carries contents")
	}
}

// FuzzDecodeNews decodes malformed updates: what is accepted is within bounds, has one wire form,
// and never corrupts a catalog.
func FuzzDecodeNews(f *testing.F) {
	seed := Update{Server: serverID(0), Observer: "peer", Operator: OperatorMark{Sequence: 1, Drained: true}}
	seed.Instance = Instance{ID: "x", Generation: 1, Revision: 1, Contents: newContents(statusOf(0, "x", false, 1))}
	encoded, err := EncodeUpdates([]Update{seed})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte{0x0a, 0x00})
	change := seed
	change.setVersionChange(1, 1)
	if encoded, err = EncodeUpdates([]Update{seed, change}); err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		batch, err := DecodeUpdates(encoded)
		if err != nil {
			return
		}
		again, err := EncodeUpdates(batch)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeUpdates(again)
		if err != nil || !reflect.DeepEqual(batch, decoded) {
			t.Fatalf("%+v becomes %+v, %v", batch, decoded, err)
		}
		c := newTestCatalog("node", newClock().Now)
		c.Apply(batch...)
		c.View(testService)
		if applied := c.Apply(c.Snapshot()...); len(applied) > 0 {
			t.Fatalf("own snapshot changed the catalog: %+v", applied)
		}
	})
}
