package exchange_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
)

// TestConnectionsThatFellSilentTogetherAreFoundTogether checks that after a time-out on one reused
// connection, the other idle ones are closed too: all open connections to a server may stop
// delivering data while new ones work.
func TestConnectionsThatFellSilentTogetherAreFoundTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const connections = 5
		network := exchangetest.NewNetwork()
		var silent, served atomic.Int64
		network.Add(address, func(exchangetest.Request) exchangetest.Answer {
			// Requests on the connections that were open before are never answered.
			if served.Add(1) <= silent.Load() {
				return exchangetest.Answer{Hang: true}
			}
			answer := exchangetest.Whole("body")
			answer.Delay = 10 * time.Millisecond
			return answer
		})
		pool := exchange.NewPool(address, network)
		var group sync.WaitGroup
		for range connections {
			group.Go(func() { _, _, _ = send(pool, request("r"), time.Second) })
		}
		group.Wait()
		g.Expect(pool.Idle()).To(Equal(connections))
		silent.Store(served.Load() + 1)
		_, attempt, err := send(pool, request("silent"), time.Second)
		g.Expect(err).To(HaveOccurred())
		g.Expect(attempt.ConnectTime).To(BeZero())
		_, attempt, err = send(pool, request("next"), time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(attempt.ConnectTime).NotTo(BeZero(), "the request must use a new connection")
		pool.Close()
	})
}

// TestShortPauseKeepsIdleConnections checks that a time-out shorter than minSilence closes only the
// connection that it occurred on.
func TestShortPauseKeepsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := exchangetest.NewNetwork()
		var pauses atomic.Bool
		network.Add(address, func(exchangetest.Request) exchangetest.Answer {
			if pauses.Load() {
				return exchangetest.Answer{Hang: true}
			}
			return exchangetest.Whole("body")
		})
		pool := exchange.NewPool(address, network)
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() { _, _, _ = send(pool, request("r"), time.Second) })
		}
		group.Wait()
		idle := pool.Idle()
		pauses.Store(true)
		_, _, err := send(pool, request("short"), 300*time.Millisecond)
		g.Expect(err).To(HaveOccurred())
		g.Expect(pool.Idle()).To(Equal(idle - 1))
		pool.Close()
	})
}
