package membership

import (
	"testing"
	"time"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// TestOldNewsOfOtherZonesIsNotNews checks that outdated gossip does not bring back a dead member of
// another zone, while a declaration with a higher incarnation does. Gossip may still be under way
// when the member is dead, so it must be remembered long enough.
func TestOldNewsOfOtherZonesIsNotNews(t *testing.T) {
	held := newTable(Member{ID: "self", Zone: "oslo", Incarnation: 1}, DefaultMembersPerZone)
	now := time.Unix(1000, 0)
	declared := func(incarnation uint64) *pb.Entry {
		return &pb.Entry{Id: "n", Address: "n:1", Zone: "bergen", State: pb.State_STATE_ALIVE, Incarnation: incarnation}
	}
	if !held.apply(declared(4), now) {
		t.Fatal("a new member did not change the table")
	}
	if !held.apply(&pb.Entry{Id: "n", State: pb.State_STATE_DEAD, Incarnation: 4}, now) {
		t.Fatal("the death of the member did not change the table")
	}
	held.reap(now.Add(50*time.Second), time.Hour)
	if held.apply(declared(4), now) {
		t.Error("outdated gossip brought the member back")
	}
	if !held.apply(declared(5), now) {
		t.Error("a higher incarnation did not bring the member back")
	}
}

// TestSuspicionTimeouts checks the bounds of the time to refute.
func TestSuspicionTimeouts(t *testing.T) {
	accused := &suspicion{}
	if !accused.confirm("a") || accused.confirm("a") {
		t.Error("the same accuser was not counted exactly once")
	}
	alone := accused.timeout(300, time.Second)
	for _, accuser := range []string{"b", "c", "d"} {
		accused.confirm(target.NodeID(accuser))
	}
	together := accused.timeout(300, time.Second)
	if alone != maxSuspicionFactor*together || accused.confirm("e") {
		t.Errorf("time to refute with one accuser %v, with four %v; or a fifth accuser was added", alone, together)
	}
	small := (&suspicion{accusers: accused.accusers[:1]}).timeout(2, time.Second)
	if small != minSuspicionPeriods*time.Second {
		t.Errorf("time to refute in a zone of two: %v, want the minimum", small)
	}
}
