package directory

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// startRecorder is a listener that records the starts of servers.
type startRecorder struct {
	starts []fleet.Start
}

func (s *startRecorder) Changed(entry Entry) {
	if entry.Server != nil {
		s.starts = append(s.starts, entry.Server.Start)
	}
}
func (*startRecorder) Loaded(uint64)                  {}
func (*startRecorder) Dependency(string, bool, error) {}
func (*startRecorder) EraChanged(EraChange)           {}

// TestAnEntryOfAnEarlierStartComesLate checks that an entry of an earlier start is ignored when it
// arrives late, from a node or a copy of the store that is behind, or from a store that went back.
// The revisions of the store decide, not the start times, since a clock may be set back.
func TestAnEntryOfAnEarlierStartComesLate(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	entry := func(revision uint64, start fleet.Start) Entry {
		return Entry{Key: "servers/i", Revision: revision, ServerID: "i", Server: &fleet.Server{ID: "i", Start: start}}
	}
	listener := &startRecorder{}
	tested := newReplica(listener)
	tested.apply(Batch{Revision: 10, Entries: []Entry{entry(8, 100)}}, wholeState, now)
	tested.apply(Batch{Revision: 12, Entries: []Entry{entry(12, 50)}}, allChanges, now)
	for _, covered := range []coverage{wholeState, allChanges, newerOnly} {
		tested.apply(Batch{Revision: 10, Entries: []Entry{entry(8, 100)}}, covered, now)
		tested.apply(Batch{Revision: 20, Entries: []Entry{entry(8, 100), entry(11, 70), entry(12, 50)}}, covered, now)
	}
	g.Expect(listener.starts).To(Equal([]fleet.Start{100, 50}), "the later start has an earlier time, since its clock was set back")

	tested.apply(Batch{Revision: 22, Entries: []Entry{entry(21, 0).asGone(21), entry(22, 200)}}, allChanges, now)
	tested.apply(Batch{Revision: 22, Entries: []Entry{entry(21, 0).asGone(21)}}, allChanges, now)
	g.Expect(listener.starts).To(Equal([]fleet.Start{100, 50, 200}), "a deleted key is written again")
	g.Expect(tested.entries["servers/i"].Server.Start).To(Equal(fleet.Start(200)))
}
