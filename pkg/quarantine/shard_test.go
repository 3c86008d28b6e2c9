package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// endAt lets servers of one service end under a request that others have answered.
func (w *world) endAt(guard *quarantine.Guard, service string, servers ...string) {
	for _, server := range servers {
		guard.RecordBrokenConnectionAtService(deadly, service, fleet.Incarnation{ID: server}, server, time.Now())
	}
}

// TestAnswersOfOtherServicesClearNothingAtAService: at all nodes, until it answers itself.
func TestAnswersOfOtherServicesClearNothingAtAService(t *testing.T) {
	in(t, 3, func(g *WithT, w *world) {
		w.endAt(w.guards[0], "a", "a1", "a2", "a3")
		time.Sleep(news)
		for _, guard := range w.guards {
			guard.RecordAnswer(deadly, time.Now())
			guard.RecordAnswerOfService(deadly, "b", false, time.Now())
			g.Expect(guard.StateAtService(deadly, "a")).To(Equal(quarantine.Suspect))
			g.Expect(guard.StateAtService(deadly, "b")).To(Equal(quarantine.Clear))
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Clear))
		}
		w.guards[1].RecordAnswerOfService(deadly, "a", false, time.Now())
		time.Sleep(news)
		for _, guard := range w.guards {
			g.Expect(guard.StateAtService(deadly, "a")).To(Equal(quarantine.Clear))
			g.Expect(guard.IsIdle()).To(BeTrue())
		}
		g.Expect(w.ledger.held()).To(BeEmpty())
	})
}

// TestARequestThatWasAnsweredWholeLatelyIsSuspectAtNoService: one that comes all the time loses
// servers with each one that ends under another request.
func TestARequestThatWasAnsweredWholeLatelyIsSuspectAtNoService(t *testing.T) {
	in(t, 2, func(g *WithT, w *world) {
		w.guards[0].RecordCompleteAnswer(deadly, time.Now())
		time.Sleep(20 * time.Second)
		w.endAt(w.guards[0], "a", "a1", "a2", "a3")
		g.Expect(w.guards[0].IsIdle()).To(BeTrue())
		w.endAt(w.guards[1], "a", "a1", "a2", "a3")
		time.Sleep(news)
		g.Expect(w.guards[1].StateAtService(deadly, "a")).To(Equal(quarantine.Suspect), "a node that has just started")
		g.Expect(w.guards[0].StateAtService(deadly, "a")).To(Equal(quarantine.Clear), "this one knows better")
		time.Sleep(news)
		g.Expect(w.guards[1].StateAtService(deadly, "a")).To(Equal(quarantine.Clear))
		g.Expect(w.ledger.held()).To(BeEmpty())
		time.Sleep(2 * time.Minute)
		w.endAt(w.guards[0], "a", "a1", "a2", "a3")
		time.Sleep(news)
		g.Expect(w.guards[0].StateAtService(deadly, "a")).To(Equal(quarantine.Suspect), "it may have become deadly there")
	})
}

// TestASuspectShardGetsTheTrialsOfASuspectRequest, two at once over all nodes, and costs nothing at
// other services.
func TestASuspectShardGetsTheTrialsOfASuspectRequest(t *testing.T) {
	in(t, 3, func(g *WithT, w *world) {
		w.endAt(w.guards[0], "a", "a1", "a2", "a3")
		time.Sleep(news)
		granted := 0
		for _, guard := range w.guards {
			if guard.ClaimTrial(t.Context(), deadly.At("a")) != nil {
				granted++
			}
		}
		g.Expect(granted).To(Equal(quarantine.ImmediateTrials))
		for _, guard := range w.guards {
			g.Expect(guard.StateAtService(deadly, "a")).To(Equal(quarantine.Quarantined))
			g.Expect(guard.StateAtService(deadly, "b")).To(Equal(quarantine.Clear))
		}
	})
}

// TestOneBrokenConnectionAtAServiceIsToldNobody: most requests that shared a server are done without
// it. The second one at the same service counts with it.
func TestOneBrokenConnectionAtAServiceIsToldNobody(t *testing.T) {
	in(t, 2, func(g *WithT, w *world) {
		w.endAt(w.guards[0], "a", "a1", "a1")
		w.endAt(w.guards[0], "b", "b1")
		time.Sleep(news)
		g.Expect(w.guards[0].IsIdle()).To(BeTrue())
		g.Expect(w.network.Dials()).To(BeZero())
		w.endAt(w.guards[0], "a", "a2")
		time.Sleep(news)
		g.Expect(w.ledger.held()).To(HaveLen(2))
		w.endAt(w.guards[1], "a", "a3")
		time.Sleep(news)
		g.Expect(w.guards[0].StateAtService(deadly, "a")).To(Equal(quarantine.Suspect))
	})
}

// TestAnAnswerOfAServiceClearsItsFirstBrokenConnection, though nothing is suspect: a later one is a
// first one again. One of a service that has answered lately does not count at all.
func TestAnAnswerOfAServiceClearsItsFirstBrokenConnection(t *testing.T) {
	in(t, 1, func(g *WithT, w *world) {
		w.endAt(w.guards[0], "a", "a1")
		w.guards[0].RecordAnswerOfService(deadly, "b", false, time.Now())
		w.guards[0].RecordAnswerOfService(deadly, "a", false, time.Now())
		w.endAt(w.guards[0], "a", "a2")
		time.Sleep(2 * time.Minute)
		w.endAt(w.guards[0], "a", "a3")
		time.Sleep(news)
		g.Expect(w.guards[0].IsIdle()).To(BeTrue())
		g.Expect(w.network.Dials()).To(BeZero())
	})
}
