package fanout_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
)

// TestARequestLeavesAScarceShardToThoseThatNeedIt guards against requests that take the last server
// of a shard from those that need it. A request whose required parts are already in progress
// elsewhere waits behind one that cannot be answered without the shard, even if its sampling value
// is greater. The fault behind it: a kind of request that could do without a shard with one server
// left was served worst.
func TestARequestLeavesAScarceShardToThoseThatNeedIt(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		slow := exchangetest.Whole("a")
		slow.Delay = 120 * time.Millisecond
		w.add("a", "a1", slow)
		w.add("b", "b1", slow)
		scarce := exchangetest.Whole("c")
		scarce.Delay = 40 * time.Millisecond
		w.add("c", "c1", scarce)
		w.fleet.SetConnections(map[string]int{"c": 2})
		first, second := "request-1", "request-2"
		if xxhash.Sum64String(first) > xxhash.Sum64String(second) {
			first, second = second, first
		}
		var runs sync.WaitGroup
		start := func(id string, required int, services ...string) {
			runs.Go(func() {
				planned := plan(services...)
				planned.Required = required
				result := w.runner.Run(context.Background(), planned, &exchange.Request{Method: "GET", Target: "/", ID: id})
				g.Expect(result.Reason).To(Equal(fanout.StopComplete))
			})
			time.Sleep(5 * time.Millisecond)
		}
		start("holder", 1, "c")
		start(second, 2, "a", "b", "c")
		start(first, 3, "a", "b", "c")
		runs.Wait()
		var order []string
		for _, request := range w.servers["c1"].Requests() {
			order = append(order, request.Header.Get(exchangetest.Dialect.RequestID))
		}
		g.Expect(order).To(Equal([]string{"holder", first, second}))
	})
}
