package fanout_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// singleWith returns a plan for one service with a long deadline, so that only the drain ends it.
func singleWith(repeatable bool) fanout.Plan {
	single := plan("a")
	single.Repeatable = repeatable
	single.Target, single.Deadline, single.MaxServerWait = time.Time{}, time.Now().Add(time.Hour), time.Hour
	single.MaxAttempts = 1
	return single
}

// TestADrainEndsRequestsThatHaveNotStarted checks that a request that waits for a server, or that all
// servers refused, ends as not run when no more requests are started.
func TestADrainEndsRequestsThatHaveNotStarted(t *testing.T) {
	refusal := exchangetest.Answer{Status: http.StatusServiceUnavailable, Cut: -1, Header: map[string]string{"Refused": "1"}}
	for name, isListed := range map[string]bool{"no server": false, "refused": true} {
		for _, repeatable := range []bool{true, false} {
			inBubble(t, func(g *WithT, w *world) {
				if isListed {
					w.add("a", "a1", refusal)
				}
				w.runner.Drain = fanout.NewDrain()
				time.AfterFunc(time.Second, w.runner.Drain.EndStarting)
				result, took := w.run(singleWith(repeatable))
				g.Expect(result.Reason).To(Equal(fanout.StopDraining), name)
				g.Expect(result.Outcome).To(Equal(outcome.NotRun), name)
				g.Expect(took).To(BeNumerically("~", time.Second, 10*time.Millisecond), name)
				w.runner.Drain.End()
			})
		}
	}
}

// TestADrainLetsStartedRequestsFinish checks that a request that a server has is awaited until the end
// of the drain, and that its outcome is unknown then.
func TestADrainLetsStartedRequestsFinish(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		for _, work := range []time.Duration{2 * time.Second, time.Minute} {
			inBubble(t, func(g *WithT, w *world) {
				answer := exchangetest.Whole("x")
				answer.Delay = work
				w.add("a", "a1", answer)
				w.runner.Drain = fanout.NewDrain()
				time.AfterFunc(time.Second, w.runner.Drain.EndStarting)
				time.AfterFunc(3*time.Second, w.runner.Drain.End)
				result, took := w.run(singleWith(repeatable))
				if work < 3*time.Second {
					g.Expect(result.Reason).To(Equal(fanout.StopComplete))
					return
				}
				g.Expect(result.Reason).To(Equal(fanout.StopDraining))
				g.Expect(result.Outcome).To(Equal(outcome.Unknown))
				g.Expect(took).To(Equal(3 * time.Second))
			})
		}
	}
}

// TestADrainStartsOnlyRepeatableRequestsLate checks that a request that may run once only is not sent
// to a server late in a drain, and that no request is at its end.
func TestADrainStartsOnlyRepeatableRequestsLate(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		w.runner.Drain = fanout.NewDrain()
		w.runner.Drain.EndStarting()
		result, _ := w.run(singleWith(true))
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		result, _ = w.run(singleWith(false))
		g.Expect(result.Reason).To(Equal(fanout.StopDraining))
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))
		w.runner.Drain.End()
		result, _ = w.run(singleWith(true))
		g.Expect(result.Reason).To(Equal(fanout.StopDraining))
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))
		g.Expect(w.arrivals("a1")).To(Equal(1))
	})
}
