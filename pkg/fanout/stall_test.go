package fanout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// TestAResultGoesBeforeWhatIsDue guards against needless hedges after a stall of the process, when
// an answer and the hedge time of its part are found at once: the answer must be handled first. The
// run has no fleet, so that a hedge would panic.
func TestAResultGoesBeforeWhatIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		runner := &Runner{IsUsable: func(*exchange.Response) bool { return true }}
		now := time.Now()
		plan := Plan{Services: []string{"a"}, Required: 1, Repeatable: true, MaxAttempts: 2, Deadline: now.Add(time.Second)}
		stalled := newRun(runner, plan, &exchange.Request{})
		answered := &attempt{Attempt: &exchange.Attempt{}, part: 0}
		stalled.parts[0].inFlight = []*attempt{answered}
		stalled.parts[0].hedgeAt = now.Add(-time.Millisecond)
		stalled.results <- finished{attempt: answered, answer: &exchange.Response{Status: 200}}

		g.Expect(stalled.loop(context.Background())).To(Equal(StopComplete))
		g.Expect(stalled.hedges).To(BeZero())
	})
}
