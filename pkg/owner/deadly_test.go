package owner_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// silentLedger tells no other node anything, so that a test sees what owners tell.
type silentLedger struct{}

func (silentLedger) AddNotes(context.Context, []quarantine.Note) error            { return nil }
func (silentLedger) ClaimNote(context.Context, quarantine.Note) (bool, error)     { return true, nil }
func (silentLedger) RemoveNotes(context.Context, []quarantine.Note) error         { return nil }
func (silentLedger) Standing(exchange.Fingerprint, quarantine.Standing, []string) {}
func (silentLedger) LedgerFailed(string, error)                                   {}

// endAll lets every server end with the first request that it runs.
func (c *cluster) endAll() {
	for name, each := range c.byName {
		each.Respond = func(exchangetest.Request) exchangetest.Answer {
			c.servers.Remove(name)
			return exchangetest.Answer{Delay: 10 * time.Millisecond}
		}
	}
}

// TestOwnersTellWhichServersEnded, so that the asking node does not send a deadly request to
// the other servers itself, and refuses the next try of it with a promise.
func TestOwnersTellWhichServersEnded(t *testing.T) {
	in(t, func(g *WithT, c *cluster) {
		asker, owners := c.outsider()
		c.endAll()
		result, took := c.ask(c.t.Context(), asker)
		g.Expect(result.Got).To(BeZero())
		g.Expect(result.Outcome).To(Equal(outcome.Unknown))
		g.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		ended := c.arrivals("near") + c.arrivals("far")
		g.Expect(ended).To(BeNumerically("<=", shardCount+groupCount*2), "two ends of each owner are retried at once")
		for _, name := range append(owners, asker.Name) {
			result, _ = c.ask(c.t.Context(), c.node(name))
			g.Expect(result.Reason).To(Equal(fanout.StopQuarantined))
			g.Expect(result.Outcome).To(Equal(outcome.NotRun))
		}
		g.Expect(c.arrivals("near") + c.arrivals("far")).To(Equal(ended))
	})
}
