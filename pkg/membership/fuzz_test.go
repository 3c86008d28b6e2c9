package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// FuzzHandlers passes arbitrary bytes to every message handler. No input may crash a node, make it
// declare itself anything but alive, or make its counts and digests inconsistent with its records.
func FuzzHandlers(f *testing.F) {
	entry := &pb.Entry{Id: "n", Address: "a", Zone: "oslo", State: pb.State_STATE_ALIVE, Incarnation: 3}
	accusation := &pb.Entry{Id: "self", State: pb.State_STATE_DEAD, Incarnation: 9}
	gossip := &pb.Gossip{Entries: []*pb.Entry{entry, accusation}, News: []*pb.News{{Origin: "n", Sequence: 1}}}
	for _, message := range []interface{ MarshalVT() ([]byte, error) }{
		&pb.Ping{Target: "self", Gossip: gossip},
		&pb.ProbeRequest{Target: "n", Address: "a", Gossip: gossip},
		&pb.SyncRequest{Self: entry, Entries: gossip.Entries, Digests: make([]uint64, digestBuckets)},
		&pb.SummaryRequest{Self: &pb.Entry{Id: "b", Address: "b", Zone: "bergen", Incarnation: 1}, Known: gossip.Entries, Members: gossip.Entries},
	} {
		data, err := message.MarshalVT()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) {
			network := peer.NewNetwork(1)
			m := New(Options{
				Self:      Member{ID: "self", Zone: "oslo"},
				Transport: network.Transport("self:1"),
				Timing:    Timing{ProbeTimeout: time.Millisecond},
			})
			m.begin(time.Now())
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			m.handlePing(ctx, "n", data)
			m.handleProbe(ctx, "n", data)
			m.handleSync(ctx, "n", data)
			m.handleSummary(ctx, "n", data)
			m.end()
			network.Close()
			checkTable(t, m.table)
		})
	})
}

// checkTable recomputes the counts and digests of a table from its records and compares them.
func checkTable(t *testing.T, held *table) {
	if held.self.member.State != Alive || held.records["self"] != held.self {
		t.Error("the node does not list itself as alive")
	}
	living, suspects := 0, 0
	var sums digests
	for _, r := range held.records {
		if r.suspicion != nil {
			suspects++
		}
		if r.member.State == Dead {
			continue
		}
		sums.toggle(r)
		if !r.remote {
			living++
		}
	}
	if living != held.zoneSize || len(held.others) != living-1 || suspects != held.suspects || sums != held.digests {
		t.Errorf("counted %d members not dead and %d suspects; the table has %d and %d, or its digests or other members differ", living, suspects, held.zoneSize, held.suspects)
	}
}
