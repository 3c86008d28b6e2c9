package exchange_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// maxEndlessBytes is more than a response may have: a body of 8 MiB in chunks, and what surrounds it.
const maxEndlessBytes = 16 << 20

// TestAnAnswerWithoutEndIsCut guards against a process that runs out of memory, or never ends a
// request, since a faulty server sends bytes without end.
func TestAnAnswerWithoutEndIsCut(t *testing.T) {
	answers := exchangetest.EndlessAnswers("HTTP/1.1 200 X\r\nId: r\r\nMark: m\r\n", "Id: other\r\n")
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pool := exchange.NewPool(address, pipeDialer(func(server net.Conn) { answer.Serve(server) }))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, _, err := send(pool, request("r"), time.Hour)
			runtime.ReadMemStats(&after)
			g.Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
			g.Expect(err).NotTo(MatchError(ContainSubstring("i/o timeout")), "the attempt ends before its deadline")
			g.Expect(pool.Idle()).To(BeZero())
			g.Eventually(answer.Ended, time.Minute).Should(BeClosed())
			g.Expect(answer.Sent.Load()).To(BeNumerically("<", maxEndlessBytes))
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 4*maxEndlessBytes))
		})
	}
}
