package fanout_test

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// resettingDialer resets every connection to one address while it opens.
type resettingDialer struct {
	*exchangetest.Network
	address string
}

func (d resettingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address == d.address {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNRESET}
	}
	return d.Network.DialContext(ctx, network, address)
}

// TestAConnectionTurnedAwayCostsNoBudget guards against charging the budget for connections that a
// server resets, which denied 2,819 retries in one second. Nothing was sent, so the request to the
// next server is no extra load.
func TestAConnectionTurnedAwayCostsNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld()
		w.budget.allowed = 0
		w.fleet = fleet.New(fleet.Settings{
			Local: fleet.Place{Zone: "z"}, LeaveGrace: time.Second,
			Dialer: resettingDialer{Network: w.network, address: "full"}, Random: rand.New(rand.NewPCG(1, 1)),
		})
		w.runner.Fleet = w.fleet
		w.add("s", "full", exchangetest.Whole("x"))
		w.add("s", "free", exchangetest.Whole("x"))
		result, _ := w.run(plan("s"))
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(result.Denied).To(BeZero())
		g.Expect(w.arrivals("full", "free")).To(Equal(1))
		time.Sleep(time.Minute)
		w.fleet.Sweep(time.Now())
	})
}
