package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// crashAtService reports broken connections to servers of one service, for a request that other
// services have answered.
func (c *cluster) crashAtService(guard *quarantine.Guard, service string, servers ...string) {
	for _, server := range servers {
		guard.RecordBrokenConnectionAtService(deadly, service, fleet.Incarnation{ID: server}, server, time.Now())
	}
}

// A request that is suspect at one service stays so at all nodes when other services answer it,
// until that service itself has answered.
func TestAnswersOfOtherServicesDoNotClearAService(t *testing.T) {
	withGuards(t, 3, func(g *WithT, c *cluster) {
		c.crashAtService(c.guards[0], "a", "a1", "a2", "a3")
		time.Sleep(storeDelay)
		for _, guard := range c.guards {
			guard.RecordAnswer(deadly, time.Now())
			guard.RecordAnswerOfService(deadly, "b", false, time.Now())
			g.Expect(guard.StateAtService(deadly, "a")).To(Equal(quarantine.Suspect))
			g.Expect(guard.StateAtService(deadly, "b")).To(Equal(quarantine.Clear))
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Clear))
		}
		c.guards[1].RecordAnswerOfService(deadly, "a", false, time.Now())
		time.Sleep(storeDelay)
		for _, guard := range c.guards {
			g.Expect(guard.StateAtService(deadly, "a")).To(Equal(quarantine.Clear))
			g.Expect(guard.IsIdle()).To(BeTrue())
		}
		g.Expect(c.ledger.stored()).To(BeEmpty())
	})
}

// A request that comes all the time loses a server with each one that crashes under another
// request. If all its services answered it recently, it must not become suspect at any of them.
func TestARequestAnsweredByAllServicesIsSuspectAtNone(t *testing.T) {
	withGuards(t, 2, func(g *WithT, c *cluster) {
		c.guards[0].RecordCompleteAnswer(deadly, time.Now())
		time.Sleep(20 * time.Second)
		c.crashAtService(c.guards[0], "a", "a1", "a2", "a3")
		g.Expect(c.guards[0].IsIdle()).To(BeTrue())
		c.crashAtService(c.guards[1], "a", "a1", "a2", "a3")
		time.Sleep(storeDelay)
		g.Expect(c.guards[1].StateAtService(deadly, "a")).To(Equal(quarantine.Suspect), "this node does not know of the answer yet")
		g.Expect(c.guards[0].StateAtService(deadly, "a")).To(Equal(quarantine.Clear), "this node knows of the answer")
		time.Sleep(storeDelay)
		g.Expect(c.guards[1].StateAtService(deadly, "a")).To(Equal(quarantine.Clear))
		g.Expect(c.ledger.stored()).To(BeEmpty())
		time.Sleep(2 * time.Minute)
		c.crashAtService(c.guards[0], "a", "a1", "a2", "a3")
		time.Sleep(storeDelay)
		g.Expect(c.guards[0].StateAtService(deadly, "a")).To(Equal(quarantine.Suspect), "the answer is too old to protect the request")
	})
}

// A request that is suspect at one service gets two immediate trials there over all nodes, and is
// not restricted at other services.
func TestASuspectShardGetsTheTrialsOfASuspectRequest(t *testing.T) {
	withGuards(t, 3, func(g *WithT, c *cluster) {
		c.crashAtService(c.guards[0], "a", "a1", "a2", "a3")
		time.Sleep(storeDelay)
		granted := 0
		for _, guard := range c.guards {
			if guard.ClaimTrial(t.Context(), deadly.At("a")) != nil {
				granted++
			}
		}
		g.Expect(granted).To(Equal(quarantine.ImmediateTrials))
		for _, guard := range c.guards {
			g.Expect(guard.StateAtService(deadly, "a")).To(Equal(quarantine.Quarantined))
			g.Expect(guard.StateAtService(deadly, "b")).To(Equal(quarantine.Clear))
		}
	})
}

// Most requests that shared a server with a deadly one finish without that server, so a first
// broken connection is neither probed nor shared. A second one at the same service counts together
// with the first.
func TestOneBrokenConnectionAtAServiceIsNotShared(t *testing.T) {
	withGuards(t, 2, func(g *WithT, c *cluster) {
		c.crashAtService(c.guards[0], "a", "a1", "a1")
		c.crashAtService(c.guards[0], "b", "b1")
		time.Sleep(storeDelay)
		g.Expect(c.guards[0].IsIdle()).To(BeTrue())
		g.Expect(c.network.Dials()).To(BeZero())
		c.crashAtService(c.guards[0], "a", "a2")
		time.Sleep(storeDelay)
		g.Expect(c.ledger.stored()).To(HaveLen(2))
		c.crashAtService(c.guards[1], "a", "a3")
		time.Sleep(storeDelay)
		g.Expect(c.guards[0].StateAtService(deadly, "a")).To(Equal(quarantine.Suspect))
	})
}

// An answer of a service discards the first broken connection at it, although nothing is suspect: a
// later one is a first one again. Broken connections at a service that has answered recently do not
// count.
func TestAnAnswerOfAServiceClearsItsFirstBrokenConnection(t *testing.T) {
	withGuards(t, 1, func(g *WithT, c *cluster) {
		c.crashAtService(c.guards[0], "a", "a1")
		c.guards[0].RecordAnswerOfService(deadly, "b", false, time.Now())
		c.guards[0].RecordAnswerOfService(deadly, "a", false, time.Now())
		c.crashAtService(c.guards[0], "a", "a2")
		time.Sleep(2 * time.Minute)
		c.crashAtService(c.guards[0], "a", "a3")
		time.Sleep(storeDelay)
		g.Expect(c.guards[0].IsIdle()).To(BeTrue())
		g.Expect(c.network.Dials()).To(BeZero())
	})
}
