package quarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// Crashes of three servers make a request suspect at all nodes, even if each was seen by a
// different node.
func TestARequestIsSuspectAfterThreeServers(t *testing.T) {
	withGuards(t, 3, func(g *WithT, c *cluster) {
		for index, guard := range c.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Clear))
			c.crash(guard, deadly, fmt.Sprint("server", index))
		}
		time.Sleep(storeDelay)
		for _, guard := range c.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
			g.Expect(guard.State(other)).To(Equal(quarantine.Clear))
		}
	})
}

// A server that accepts a new connection has not crashed. Until that is known, the request is
// doubtful and not sent on.
func TestBrokenConnectionsToLiveServersAreNotCrashes(t *testing.T) {
	withGuards(t, 1, func(g *WithT, c *cluster) {
		c.network.ConnectTime = 10 * time.Millisecond
		for _, server := range []string{"a", "b", "c"} {
			c.network.Add(server, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("") })
			c.guards[0].RecordBrokenConnection(deadly, fleet.Incarnation{ID: server}, server, time.Now())
		}
		g.Expect(c.guards[0].State(deadly)).To(Equal(quarantine.Doubtful))
		time.Sleep(storeDelay)
		g.Expect(c.guards[0].State(deadly)).To(Equal(quarantine.Clear))
		g.Expect(c.guards[0].IsIdle()).To(BeTrue())
		g.Expect(c.network.Dials()).To(Equal(6), "two probes of each server")
		g.Expect(c.ledger.calls).To(BeZero())
	})
}

// Most requests that meet a broken connection are answered by another server soon after. Probing
// the server that broke the connection would be wasted for these.
func TestARequestThatIsAnsweredSoonCostsFewProbes(t *testing.T) {
	withGuards(t, 1, func(g *WithT, c *cluster) {
		for _, server := range []string{"a", "b"} {
			c.network.Add(server, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("") })
		}
		for number := range 100 {
			request := exchange.Fingerprint{byte(number)}
			c.crash(c.guards[0], request, "a", "b")
			time.Sleep(20 * time.Millisecond)
			c.guards[0].RecordAnswer(request, time.Now())
		}
		time.Sleep(storeDelay)
		t.Logf("%d connections opened by probes", c.network.Dials())
		g.Expect(c.network.Dials()).To(BeNumerically("<=", 32), "unanswered requests are probed only every 0.3 s")
		g.Expect(c.guards[0].IsIdle()).To(BeTrue())
	})
}

// A request that comes all the time is being processed at every server that crashes under another
// request. An answer at any node protects it from suspicion for a while.
func TestARequestThatWasAnsweredLatelyIsNotSuspect(t *testing.T) {
	withGuards(t, 2, func(g *WithT, c *cluster) {
		frequent := other
		c.guards[0].RecordAnswer(frequent, time.Now())
		time.Sleep(20 * time.Second)
		c.crash(c.guards[0], frequent, "a", "b", "c")
		g.Expect(c.guards[0].State(frequent)).To(Equal(quarantine.Clear))
		c.crash(c.guards[1], frequent, "a", "b", "c")
		g.Expect(c.guards[1].State(frequent)).To(Equal(quarantine.Suspect), "this node does not know of the answer yet")
		time.Sleep(2 * storeDelay)
		g.Expect(c.guards[1].State(frequent)).To(Equal(quarantine.Clear), "the other node knows of the answer and must remove the notes")
		g.Expect(c.ledger.stored()).To(BeEmpty())
		time.Sleep(2 * time.Minute)
		c.crash(c.guards[0], frequent, "a", "b", "c")
		g.Expect(c.guards[0].State(frequent)).To(Equal(quarantine.Suspect), "the answer is too old to protect the request")
	})
}

// An ordinary request that lost its immediate trials by chance must be cleared in the end, while a
// deadly one gets only three more trials in ten minutes.
func TestALaterTrialIsMadeNowAndThen(t *testing.T) {
	withGuards(t, 3, func(g *WithT, c *cluster) {
		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(storeDelay)
		start, granted := time.Now(), 0
		for time.Since(start) < 9*time.Minute {
			for _, guard := range c.guards {
				if guard.State(deadly) == quarantine.Suspect && guard.ClaimTrial(context.Background(), deadly) != nil {
					granted++
				}
			}
			if time.Since(start) < 50*time.Second {
				g.Expect(granted).To(BeNumerically("<=", 2))
			}
			time.Sleep(time.Second)
		}
		g.Expect(granted).To(Equal(5))
	})
}

// An answer clears a request at all nodes. If it comes soon, nothing has been written to the ledger
// yet.
func TestAnAnswerClearsARequest(t *testing.T) {
	withGuards(t, 2, func(g *WithT, c *cluster) {
		c.crash(c.guards[0], other, "a", "b")
		c.guards[0].RecordAnswer(other, time.Now())
		time.Sleep(storeDelay)
		g.Expect(c.ledger.stored()).To(BeEmpty(), "a request answered soon must leave no notes")

		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(storeDelay)
		g.Expect(c.guards[1].State(deadly)).To(Equal(quarantine.Suspect))
		trial := c.guards[1].ClaimTrial(context.Background(), deadly)
		g.Expect(trial).NotTo(BeNil())
		c.guards[1].RecordAnswer(deadly, time.Now())
		time.Sleep(storeDelay)
		g.Expect(c.ledger.stored()).To(BeEmpty())
		for _, guard := range c.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Clear))
			g.Expect(guard.IsIdle()).To(BeTrue())
		}
	})
}

// All nodes together get two trials, however many claim them at once.
func TestAllNodesTogetherMakeTwoTrials(t *testing.T) {
	withGuards(t, 8, func(g *WithT, c *cluster) {
		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(storeDelay)
		var mutex sync.Mutex
		granted := 0
		var claims sync.WaitGroup
		for _, guard := range c.guards {
			for range 4 {
				claims.Go(func() {
					if guard.ClaimTrial(context.Background(), deadly) != nil {
						mutex.Lock()
						defer mutex.Unlock()
						granted++
					}
				})
			}
		}
		claims.Wait()
		g.Expect(granted).To(Equal(2))
		for _, guard := range c.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Quarantined))
			g.Expect(guard.RetryAfter(deadly, time.Now())).To(BeNumerically("~", time.Minute, 2*time.Second))
		}
	})
}

// A trial that reached no server shows nothing, and must not use up the bound.
func TestATrialThatReachedNoServerIsMadeAgain(t *testing.T) {
	withGuards(t, 1, func(g *WithT, c *cluster) {
		c.crash(c.guards[0], deadly, "a", "b", "c")
		for range 5 {
			trial := c.guards[0].ClaimTrial(context.Background(), deadly)
			g.Expect(trial).NotTo(BeNil())
			trial.Release()
			time.Sleep(storeDelay)
		}
	})
}

// Crashes that were detected while the ledger was unavailable reach the other nodes within a second
// and a half of its return.
func TestWhatWasFoundWhileTheLedgerWasAwayIsToldOnItsReturn(t *testing.T) {
	withGuards(t, 2, func(g *WithT, c *cluster) {
		c.ledger.setFailing(true)
		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(20 * time.Second)
		g.Expect(c.guards[0].ClaimTrial(context.Background(), deadly)).To(BeNil(), "a failed call must not grant a trial: the bound over all nodes could not be enforced")
		c.ledgerUnavailable.Store(true)
		g.Expect(c.guards[0].ClaimTrial(context.Background(), deadly)).NotTo(BeNil(), "while the ledger is unavailable, a node gets a trial for itself")
		g.Expect(c.guards[0].ClaimTrial(context.Background(), deadly)).To(BeNil(), "a node gets only one trial for itself")
		c.ledger.setFailing(false)
		c.ledgerUnavailable.Store(false)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(c.guards[1].State(deadly)).To(Equal(quarantine.Suspect))
	})
}

// A record expires at all nodes, and its notes are removed from the ledger.
func TestARecordExpires(t *testing.T) {
	withGuards(t, 2, func(g *WithT, c *cluster) {
		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(9 * time.Minute)
		for _, guard := range c.guards {
			guard.Sweep(time.Now())
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
		}
		time.Sleep(3 * time.Minute)
		for _, guard := range c.guards {
			guard.Sweep(time.Now())
			g.Expect(guard.IsIdle()).To(BeTrue())
		}
		time.Sleep(storeDelay)
		g.Expect(c.ledger.stored()).To(BeEmpty())
	})
}

// The number of records is bounded. One crash under many requests must not evict a suspect request.
func TestManyRequestsDoNotEvictASuspectOne(t *testing.T) {
	withGuards(t, 1, func(g *WithT, c *cluster) {
		c.crash(c.guards[0], deadly, "a", "b", "c")
		for number := range 5000 {
			c.guards[0].RecordBrokenConnection(exchange.Fingerprint{3, byte(number), byte(number >> 8)}, fleet.Incarnation{ID: "d"}, "d", time.Now())
		}
		g.Expect(c.guards[0].State(deadly)).To(Equal(quarantine.Suspect))
	})
}

// Notes of evicted records must not stay in the ledger for good.
func TestNotesOfRequestsThatFoundNoRoomAreRemoved(t *testing.T) {
	withGuards(t, 2, func(g *WithT, c *cluster) {
		c.addNotes(3000, 1)
		time.Sleep(storeDelay)
		g.Expect(len(c.ledger.stored())).To(Equal(3000), "other nodes may need the notes of evicted records until they expire")
		time.Sleep(15 * time.Minute)
		for _, guard := range c.guards {
			guard.Sweep(time.Now())
		}
		time.Sleep(time.Minute)
		g.Expect(c.ledger.stored()).To(BeEmpty())
	})
}

// Notes of far more requests than nodes remember must not fill the ledger.
func TestTheLedgerIsBoundedUnderFarTooManyRequests(t *testing.T) {
	withGuards(t, 1, func(g *WithT, c *cluster) {
		c.addNotes(4000, 3)
		time.Sleep(5 * time.Minute)
		g.Expect(len(c.ledger.stored())).To(BeNumerically("<=", (1024+1024+512)*3))
	})
}

// A request that crashed three successive processes of one server is suspect.
func TestCrashesOfSuccessiveProcessesOfAServerAddUp(t *testing.T) {
	withGuards(t, 2, func(g *WithT, c *cluster) {
		for start := range 3 {
			process := fleet.Incarnation{ID: "a", Start: fleet.Start(start + 1)}
			c.guards[start%2].RecordBrokenConnection(deadly, process, "a", time.Now())
		}
		time.Sleep(storeDelay)
		for _, guard := range c.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
			g.Expect(guard.CrashedServers(deadly)).To(HaveLen(3))
		}
	})
}

// The crash of an earlier process of a server must not count as one of the process that replaced
// it.
func TestALaterProcessIsLookedAtAnew(t *testing.T) {
	withGuards(t, 1, func(g *WithT, c *cluster) {
		for _, server := range []string{"a", "b", "c"} {
			c.guards[0].RecordBrokenConnection(other, fleet.Incarnation{ID: server, Start: 1}, server, time.Now())
		}
		time.Sleep(storeDelay)
		g.Expect(c.guards[0].State(other)).To(Equal(quarantine.Suspect))
		for _, server := range []string{"a", "b", "c"} {
			c.network.Add(server, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("") })
			c.guards[0].RecordBrokenConnection(deadly, fleet.Incarnation{ID: server, Start: 2}, server, time.Now())
		}
		time.Sleep(storeDelay)
		g.Expect(c.guards[0].State(deadly)).To(Equal(quarantine.Clear), "the later processes accept connections")
	})
}

// A replaced process counts as crashed, although the new one at its address accepts connections.
func TestAReplacedProcessCountsAsCrashed(t *testing.T) {
	withGuards(t, 1, func(g *WithT, c *cluster) {
		c.network.ConnectTime = 10 * time.Millisecond
		for _, server := range []string{"a", "b", "c"} {
			c.network.Add(server, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("") })
			process := fleet.Incarnation{ID: server, Start: 1}
			c.guards[0].RecordBrokenConnection(deadly, process, server, time.Now())
			c.guards[0].RecordReplacement(process, time.Now())
		}
		g.Expect(c.guards[0].State(deadly)).To(Equal(quarantine.Suspect))
		time.Sleep(storeDelay)
		g.Expect(c.guards[0].State(deadly)).To(Equal(quarantine.Suspect), "a later probe reaches the new process and must not clear the crash")
	})
}
