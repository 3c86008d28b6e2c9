package fanout_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

const (
	// restartDelay is how long a crashed server is away.
	restartDelay = 700 * time.Millisecond
	// repeatInterval is the time between the repeats of a deadly request by its client, during
	// repeatDuration.
	repeatInterval = 250 * time.Millisecond
	repeatDuration = 8 * time.Second
)

// newDeadlyShardWorld has four shards of three servers. Those of shard a crash when they execute
// the deadly request and return after restartDelay; the others answer it. The returned counter
// counts the crashes.
func newDeadlyShardWorld() (*world, *atomic.Int64) {
	w := newDeadlyWorld(nil, nil)
	crashes := &atomic.Int64{}
	for _, service := range fourShards {
		for _, replica := range threeReplicas {
			w.add(service, service+replica, exchangetest.Answer{})
			w.servers[service+replica].Respond = w.deadlyRespond(service, service+replica, crashes)
		}
	}
	return w, crashes
}

func (w *world) deadlyRespond(service, name string, crashes *atomic.Int64) func(exchangetest.Request) exchangetest.Answer {
	return func(request exchangetest.Request) exchangetest.Answer {
		if service != "a" || request.RequestURI != deadlyTarget {
			return quick("x")
		}
		crashes.Add(1)
		w.network.Remove(name)
		time.AfterFunc(restartDelay, func() { w.network.Add(name, w.deadlyRespond(service, name, crashes)) })
		return exchangetest.Answer{Delay: 10 * time.Millisecond}
	}
}

// maxCrashesOfShard are the three servers after which a request is suspect, two that execute it at
// that moment, and two trials.
const maxCrashesOfShard = quarantine.SuspectAfter + 2 + quarantine.ImmediateTrials

// TestARequestThatEndsTheServersOfOneShardIsKeptFromThatShard guards against a request that crashes
// the servers of one shard again and again, since the answers of the other shards clear it. It is
// withheld from that shard only, and its answer is partial.
func TestARequestThatEndsTheServersOfOneShardIsKeptFromThatShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, crashes := newDeadlyShardWorld()
		defer w.close()
		for began := time.Now(); time.Since(began) < repeatDuration; time.Sleep(repeatInterval) {
			result := w.send(plan(fourShards...), deadlyTarget)
			g.Expect(result.AnsweredCount).To(Equal(3))
			g.Expect(result.Parts[0]).To(BeNil())
		}
		t.Logf("%d servers crashed", crashes.Load())
		g.Expect(crashes.Load()).To(BeNumerically("<=", maxCrashesOfShard))
		whole := plan(fourShards...)
		whole.Required = len(fourShards)
		g.Expect(w.send(whole, "/ordinary").AnsweredCount).To(Equal(len(fourShards)))
		began := time.Now()
		g.Expect(w.send(plan(fourShards...), deadlyTarget).AnsweredCount).To(Equal(3))
		g.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond), "the answer does not wait for the barred shard")
	})
}

// TestARequestThatNeedsAShardWhoseServersItEndsIsRefused checks that a request that needs the shard
// whose servers it crashes is refused at once and sent nowhere.
func TestARequestThatNeedsAShardWhoseServersItEndsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, crashes := newDeadlyShardWorld()
		defer w.close()
		needed := func() fanout.Plan {
			whole := plan(fourShards...)
			whole.Required = len(fourShards)
			return whole
		}
		for began := time.Now(); time.Since(began) < repeatDuration; time.Sleep(repeatInterval) {
			w.send(needed(), deadlyTarget)
		}
		t.Logf("%d servers crashed", crashes.Load())
		g.Expect(crashes.Load()).To(BeNumerically("<=", maxCrashesOfShard))
		began := time.Now()
		result := w.send(needed(), deadlyTarget)
		g.Expect(result.Reason).To(Equal(fanout.StopQuarantined))
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))
		g.Expect(result.Sent).To(BeZero())
		g.Expect(time.Since(began)).To(BeZero())
	})
}

// TestWhatSharedTheServersOfOneShardIsAnswered checks that a request that lost three servers of one
// shard together with another request is answered by a trial, and is not withheld from then on.
func TestWhatSharedTheServersOfOneShardIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, append(threeReplicas, "4"))
		defer w.close()
		for range 2 {
			w.crashFirstAsked("a1", "a2", "a3", "a4")
			wanted := plan(fourShards...)
			wanted.Required, wanted.MaxAttempts = len(fourShards), 4
			w.send(wanted, "/shared")
		}
		w.crashFirstAsked("a1", "a2", "a3", "a4")
		wanted := plan(fourShards...)
		wanted.Required, wanted.MaxAttempts = len(fourShards), 4
		g.Expect(w.send(wanted, "/shared").AnsweredCount).To(Equal(len(fourShards)))
		g.Expect(w.runner.Quarantine.IsIdle()).To(BeTrue())
	})
}

// TestBrokenConnectionsOfAShardThatHasAnsweredCountForNothing checks that servers of a shard that
// break their connections after another server of it has answered the request do not count as
// crashed by it. An error answer made by a server counts as an answer.
func TestBrokenConnectionsOfAShardThatHasAnsweredCountForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, append(threeReplicas, "4"))
		defer w.close()
		var calls atomic.Int64
		for _, name := range []string{"a1", "a2", "a3", "a4"} {
			w.servers[name].Respond = func(exchangetest.Request) exchangetest.Answer {
				if calls.Add(1) > 1 {
					w.network.Remove(name)
					return exchangetest.Answer{}
				}
				answer := quick("x")
				answer.Status, answer.Delay = http.StatusInternalServerError, 5*time.Millisecond
				return answer
			}
		}
		wanted := plan(fourShards...)
		wanted.Required, wanted.MaxAttempts = len(fourShards)-1, 4
		result := w.send(wanted, "/ordinary")
		g.Expect(result.AnsweredCount).To(Equal(len(fourShards) - 1))
		g.Expect(result.BrokenConnections).To(Equal(3))
		g.Expect(w.runner.Quarantine.IsIdle()).To(BeTrue())
	})
}

// TestAWithheldPartIsNotRunOnlyIfItWasSentNowhere checks the outcome of the failures of a withheld
// part.
func TestAWithheldPartIsNotRunOnlyIfItWasSentNowhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newDeadlyShardWorld()
		defer w.close()
		sent, notSent := 0, 0
		for began := time.Now(); time.Since(began) < repeatDuration; time.Sleep(repeatInterval) {
			wanted := plan(fourShards...)
			wanted.MaxAttempts = 3
			result := w.send(wanted, deadlyTarget)
			switch failure := result.Failures[0]; {
			case outcome.ReasonOf(failure) != outcome.ReasonQuarantined:
			case result.MayRun[0]:
				sent++
				g.Expect(outcome.Of(failure)).To(Equal(outcome.Unknown))
			default:
				notSent++
				g.Expect(outcome.Of(failure)).To(Equal(outcome.NotRun))
			}
		}
		g.Expect(sent).To(BeNumerically(">", 0))
		g.Expect(notSent).To(BeNumerically(">", 0))
	})
}

// TestATrialThatIsRefusedAfterTheRunIsReleased checks that a trial is released if the run has ended
// with the answers of the other shards and the server then says that it has not executed the
// request.
func TestATrialThatIsRefusedAfterTheRunIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, threeReplicas)
		defer w.close()
		for _, replica := range threeReplicas {
			w.servers["a"+replica].Respond = func(exchangetest.Request) exchangetest.Answer {
				refusal := exchangetest.Whole("")
				refusal.Status, refusal.Delay = http.StatusServiceUnavailable, 100*time.Millisecond
				refusal.Header = map[string]string{exchangetest.Dialect.NotRun: "1"}
				return refusal
			}
		}
		request := exchange.Request{Method: "GET", Target: "/suspect"}
		fingerprint := request.Fingerprint(&exchangetest.Dialect).At("a")
		w.runner.Quarantine.RecordCrashes(fingerprint, []fleet.Incarnation{{ID: "x"}, {ID: "y"}, {ID: "z"}}, time.Now())
		early := plan(fourShards...)
		early.Target = time.Now().Add(50 * time.Millisecond)
		result := w.send(early, "/suspect")
		g.Expect(result.Reason).To(Equal(fanout.StopTarget))
		time.Sleep(200 * time.Millisecond)
		g.Expect(w.arrivals("a1", "a2", "a3")).To(Equal(1), "only the trial reaches a server")
		for range quarantine.ImmediateTrials {
			g.Expect(w.runner.Quarantine.ClaimTrial(t.Context(), fingerprint)).NotTo(BeNil())
		}
	})
}
