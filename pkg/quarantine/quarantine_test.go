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

// TestARequestIsSuspectAfterThreeServers that ended while they had it, wherever that was seen.
func TestARequestIsSuspectAfterThreeServers(t *testing.T) {
	in(t, 3, func(g *WithT, w *world) {
		for index, guard := range w.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Clear))
			w.end(guard, deadly, fmt.Sprint("server", index))
		}
		time.Sleep(news)
		for _, guard := range w.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
			g.Expect(guard.State(other)).To(Equal(quarantine.Clear))
		}
	})
}

// TestBrokenConnectionsToLivingServersProveNothing: a server that can be reached has not
// ended. Until that is known the request is not sent on.
func TestBrokenConnectionsToLivingServersProveNothing(t *testing.T) {
	in(t, 1, func(g *WithT, w *world) {
		w.network.ConnectTime = 10 * time.Millisecond
		for _, server := range []string{"a", "b", "c"} {
			w.network.Add(server, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("") })
			w.guards[0].RecordBrokenConnection(deadly, fleet.Incarnation{ID: server}, server, time.Now())
		}
		g.Expect(w.guards[0].State(deadly)).To(Equal(quarantine.Doubtful))
		time.Sleep(news)
		g.Expect(w.guards[0].State(deadly)).To(Equal(quarantine.Clear))
		g.Expect(w.guards[0].IsIdle()).To(BeTrue())
		g.Expect(w.network.Dials()).To(Equal(6), "two for each server")
		g.Expect(w.ledger.calls).To(BeZero())
	})
}

// TestARequestThatIsAnsweredSoonCostsFewConnections: most that meet a broken connection are
// answered by another server, and are not worth a look at the one that broke it.
func TestARequestThatIsAnsweredSoonCostsFewConnections(t *testing.T) {
	in(t, 1, func(g *WithT, w *world) {
		for _, server := range []string{"a", "b"} {
			w.network.Add(server, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("") })
		}
		for number := range 100 {
			request := exchange.Fingerprint{byte(number)}
			w.end(w.guards[0], request, "a", "b")
			time.Sleep(20 * time.Millisecond)
			w.guards[0].RecordAnswer(request, time.Now())
		}
		time.Sleep(news)
		t.Logf("%d connections", w.network.Dials())
		g.Expect(w.network.Dials()).To(BeNumerically("<=", 32), "a look each 0.3 s at what was not answered by then")
		g.Expect(w.guards[0].IsIdle()).To(BeTrue())
	})
}

// TestARequestThatWasAnsweredLatelyIsNotSuspect, wherever it was answered: one that comes all
// the time is at every server that ends under another one.
func TestARequestThatWasAnsweredLatelyIsNotSuspect(t *testing.T) {
	in(t, 2, func(g *WithT, w *world) {
		frequent := other
		w.guards[0].RecordAnswer(frequent, time.Now())
		time.Sleep(20 * time.Second)
		w.end(w.guards[0], frequent, "a", "b", "c")
		g.Expect(w.guards[0].State(frequent)).To(Equal(quarantine.Clear))
		w.end(w.guards[1], frequent, "a", "b", "c")
		g.Expect(w.guards[1].State(frequent)).To(Equal(quarantine.Suspect), "a node that has just started")
		time.Sleep(2 * news)
		g.Expect(w.guards[1].State(frequent)).To(Equal(quarantine.Clear), "another one knows better")
		g.Expect(w.ledger.held()).To(BeEmpty())
		time.Sleep(2 * time.Minute)
		w.end(w.guards[0], frequent, "a", "b", "c")
		g.Expect(w.guards[0].State(frequent)).To(Equal(quarantine.Suspect), "it may have become deadly")
	})
}

// TestALaterTrialIsMadeNowAndThen: what lost its prompt trials by chance is cleared in the
// end, and a deadly request gets three more in ten minutes.
func TestALaterTrialIsMadeNowAndThen(t *testing.T) {
	in(t, 3, func(g *WithT, w *world) {
		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(news)
		began, granted := time.Now(), 0
		for time.Since(began) < 9*time.Minute {
			for _, guard := range w.guards {
				if guard.State(deadly) == quarantine.Suspect && guard.ClaimTrial(context.Background(), deadly) != nil {
					granted++
				}
			}
			if time.Since(began) < 50*time.Second {
				g.Expect(granted).To(BeNumerically("<=", 2))
			}
			time.Sleep(time.Second)
		}
		g.Expect(granted).To(Equal(5))
	})
}

// TestAnAnswerClearsARequest at all nodes, and before it was told if it comes soon.
func TestAnAnswerClearsARequest(t *testing.T) {
	in(t, 2, func(g *WithT, w *world) {
		w.end(w.guards[0], other, "a", "b")
		w.guards[0].RecordAnswer(other, time.Now())
		time.Sleep(news)
		g.Expect(w.ledger.held()).To(BeEmpty(), "answered before it was told")

		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(news)
		g.Expect(w.guards[1].State(deadly)).To(Equal(quarantine.Suspect))
		trial := w.guards[1].ClaimTrial(context.Background(), deadly)
		g.Expect(trial).NotTo(BeNil())
		w.guards[1].RecordAnswer(deadly, time.Now())
		time.Sleep(news)
		g.Expect(w.ledger.held()).To(BeEmpty())
		for _, guard := range w.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Clear))
			g.Expect(guard.IsIdle()).To(BeTrue())
		}
	})
}

// TestAllNodesTogetherMakeTwoTrials, however many claim them at once.
func TestAllNodesTogetherMakeTwoTrials(t *testing.T) {
	in(t, 8, func(g *WithT, w *world) {
		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(news)
		var mutex sync.Mutex
		granted := 0
		var claims sync.WaitGroup
		for _, guard := range w.guards {
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
		for _, guard := range w.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Quarantined))
			g.Expect(guard.RetryAfter(deadly, time.Now())).To(BeNumerically("~", time.Minute, 2*time.Second))
		}
	})
}

// TestATrialThatReachedNoServerIsMadeAgain.
func TestATrialThatReachedNoServerIsMadeAgain(t *testing.T) {
	in(t, 1, func(g *WithT, w *world) {
		w.end(w.guards[0], deadly, "a", "b", "c")
		for range 5 {
			trial := w.guards[0].ClaimTrial(context.Background(), deadly)
			g.Expect(trial).NotTo(BeNil())
			trial.Release()
			time.Sleep(news)
		}
	})
}

// TestWhatWasFoundWhileTheLedgerWasAwayIsToldOnItsReturn, within a second and a half.
func TestWhatWasFoundWhileTheLedgerWasAwayIsToldOnItsReturn(t *testing.T) {
	in(t, 2, func(g *WithT, w *world) {
		w.ledger.setBroken(true)
		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(20 * time.Second)
		g.Expect(w.guards[0].ClaimTrial(context.Background(), deadly)).To(BeNil(), "the bound cannot be kept")
		w.lost.Store(true)
		g.Expect(w.guards[0].ClaimTrial(context.Background(), deadly)).NotTo(BeNil(), "nobody is told anything")
		g.Expect(w.guards[0].ClaimTrial(context.Background(), deadly)).To(BeNil(), "one by itself")
		w.ledger.setBroken(false)
		w.lost.Store(false)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(w.guards[1].State(deadly)).To(Equal(quarantine.Suspect))
	})
}

// TestARequestIsForgottenInTheEnd, also in the ledger.
func TestARequestIsForgottenInTheEnd(t *testing.T) {
	in(t, 2, func(g *WithT, w *world) {
		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(9 * time.Minute)
		for _, guard := range w.guards {
			guard.Sweep(time.Now())
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
		}
		time.Sleep(3 * time.Minute)
		for _, guard := range w.guards {
			guard.Sweep(time.Now())
			g.Expect(guard.IsIdle()).To(BeTrue())
		}
		time.Sleep(news)
		g.Expect(w.ledger.held()).To(BeEmpty())
	})
}

// TestManyRequestsUnderOneCrashHideNoSuspect: the number of remembered requests is bounded,
// and suspect ones are kept.
func TestManyRequestsUnderOneCrashHideNoSuspect(t *testing.T) {
	in(t, 1, func(g *WithT, w *world) {
		w.end(w.guards[0], deadly, "a", "b", "c")
		for number := range 5000 {
			w.guards[0].RecordBrokenConnection(exchange.Fingerprint{3, byte(number), byte(number >> 8)}, fleet.Incarnation{ID: "d"}, "d", time.Now())
		}
		g.Expect(w.guards[0].State(deadly)).To(Equal(quarantine.Suspect))
	})
}

// TestNotesOfRequestsThatFoundNoRoomAreRemoved in the end: nothing stays in the ledger for good.
func TestNotesOfRequestsThatFoundNoRoomAreRemoved(t *testing.T) {
	in(t, 2, func(g *WithT, w *world) {
		w.noteMany(3000, 1)
		time.Sleep(news)
		g.Expect(len(w.ledger.held())).To(Equal(3000), "other nodes may need them for as long as any")
		time.Sleep(15 * time.Minute)
		for _, guard := range w.guards {
			guard.Sweep(time.Now())
		}
		time.Sleep(time.Minute)
		g.Expect(w.ledger.held()).To(BeEmpty())
	})
}

// TestTheLedgerIsBoundedUnderFarTooManyRequests.
func TestTheLedgerIsBoundedUnderFarTooManyRequests(t *testing.T) {
	in(t, 1, func(g *WithT, w *world) {
		w.noteMany(4000, 3)
		time.Sleep(5 * time.Minute)
		g.Expect(len(w.ledger.held())).To(BeNumerically("<=", (1024+1024+512)*3))
	})
}

// TestAServerThatStartsAgainEndsAsOftenAsItDoes: a request that ended three processes of one
// server is suspect, and what a later process did not end under is not held against it.
func TestAServerThatStartsAgainEndsAsOftenAsItDoes(t *testing.T) {
	in(t, 2, func(g *WithT, w *world) {
		for start := range 3 {
			process := fleet.Incarnation{ID: "a", Start: fleet.Start(start + 1)}
			w.guards[start%2].RecordBrokenConnection(deadly, process, "a", time.Now())
		}
		time.Sleep(news)
		for _, guard := range w.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
			g.Expect(guard.CrashedServers(deadly)).To(HaveLen(3))
		}
	})
}

// TestALaterProcessIsLookedAtAnew: that an earlier one has ended says nothing of it.
func TestALaterProcessIsLookedAtAnew(t *testing.T) {
	in(t, 1, func(g *WithT, w *world) {
		for _, server := range []string{"a", "b", "c"} {
			w.guards[0].RecordBrokenConnection(other, fleet.Incarnation{ID: server, Start: 1}, server, time.Now())
		}
		time.Sleep(news)
		g.Expect(w.guards[0].State(other)).To(Equal(quarantine.Suspect))
		for _, server := range []string{"a", "b", "c"} {
			w.network.Add(server, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("") })
			w.guards[0].RecordBrokenConnection(deadly, fleet.Incarnation{ID: server, Start: 2}, server, time.Now())
		}
		time.Sleep(news)
		g.Expect(w.guards[0].State(deadly)).To(Equal(quarantine.Clear), "the later processes take connections")
	})
}

// TestAProcessThatWasReplacedHasEnded, though the later one at its address takes connections.
func TestAProcessThatWasReplacedHasEnded(t *testing.T) {
	in(t, 1, func(g *WithT, w *world) {
		w.network.ConnectTime = 10 * time.Millisecond
		for _, server := range []string{"a", "b", "c"} {
			w.network.Add(server, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("") })
			process := fleet.Incarnation{ID: server, Start: 1}
			w.guards[0].RecordBrokenConnection(deadly, process, server, time.Now())
			w.guards[0].RecordReplacement(process, time.Now())
		}
		g.Expect(w.guards[0].State(deadly)).To(Equal(quarantine.Suspect))
		time.Sleep(news)
		g.Expect(w.guards[0].State(deadly)).To(Equal(quarantine.Suspect), "the look that came later proves nothing")
	})
}
