package limit_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const server = target.ServerID("10.0.0.1:9000")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// withoutDeadline hides Deadline, which must not be called in virtual time.
type withoutDeadline struct{ testing.TB }

// model is the expected state of one server in the property test.
type model struct {
	permits     []*limit.Permit
	connections int
}

// TestPermitsStayWithinBounds runs random calls against a model that only
// counts permits: the number of connections is never exceeded, no permit is lost or
// invented, and the limit stays between one and the connections.
func TestPermitsStayWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			servers := limit.NewServers(limit.Options{})
			state := model{}
			configure := func(t *rapid.T) {
				state.connections = rapid.IntRange(0, 8).Draw(t, "connections")
				slots := rapid.Float64Range(0.01, 10).Draw(t, "slots")
				servers.Configure(server, limit.Share{Slots: slots, Connections: state.connections})
			}
			configure(t)
			t.Repeat(map[string]func(*rapid.T){
				"configure": configure,
				"acquire": func(t *rapid.T) {
					permit, taken := servers.TryAcquire(server)
					if taken {
						state.permits = append(state.permits, permit)
						requireAtMost(t, len(state.permits), max(1, state.connections))
					}
				},
				"release": func(t *rapid.T) { state.release(t) },
				"wait": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(t, "milliseconds")) * time.Millisecond)
				},
				"": func(t *rapid.T) {
					observed := servers.Observe(server)
					if observed.InFlight != len(state.permits) {
						t.Fatalf("%d sub-requests in flight, want %d", observed.InFlight, len(state.permits))
					}
					if observed.Limit < 1 {
						t.Fatalf("limit is %d, want at least 1", observed.Limit)
					}
					requireAtMost(t, observed.Limit, max(1, state.connections))
				},
			})
			state.releaseAll()
			requireUsable(t, servers)
		})
	})
}

func requireAtMost(t *rapid.T, value, bound int) {
	if value > bound {
		t.Fatalf("got %d, want at most %d", value, bound)
	}
}

// requireUsable requires that a permit is available after the longest time between
// two uses of the smallest fractional slot, so that no state blocks a server for ever.
func requireUsable(t *rapid.T, servers *limit.Servers) {
	time.Sleep(5 * time.Minute)
	permit, taken := servers.TryAcquire(server)
	if !taken {
		t.Fatalf("no permit available after five minutes: %+v", servers.Observe(server))
	}
	permit.Release(limit.Result{Cancelled: true})
}

func (m *model) release(t *rapid.T) {
	if len(m.permits) == 0 {
		t.Skip("no outstanding permit")
	}
	index := rapid.IntRange(0, len(m.permits)-1).Draw(t, "permit")
	result := limit.Result{
		Latency:   time.Duration(rapid.IntRange(0, 500).Draw(t, "latency")) * time.Millisecond,
		Shed:      rapid.Bool().Draw(t, "shed"),
		Failed:    rapid.Bool().Draw(t, "failed"),
		Cancelled: rapid.Bool().Draw(t, "cancelled"),
	}
	m.permits[index].Release(result)
	m.permits = append(m.permits[:index], m.permits[index+1:]...)
}

func (m *model) releaseAll() {
	for _, permit := range m.permits {
		permit.Release(limit.Result{})
	}
	m.permits = nil
}

// newSingleSlotServers returns a limiter whose server has one slot and one
// connection, with one answer of the given latency recorded.
func newSingleSlotServers(latency time.Duration) *limit.Servers {
	servers := limit.NewServers(limit.Options{StartShare: 1})
	servers.Configure(server, limit.Share{Slots: 1, Connections: 1})
	permit, _ := servers.TryAcquire(server)
	permit.Release(limit.Result{Latency: latency})
	return servers
}

func TestWaitersAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := newSingleSlotServers(time.Millisecond)
		held, _ := servers.TryAcquire(server)
		var served atomic.Int64
		for position := range int64(5) {
			go func() {
				permit, err := servers.Acquire(t.Context(), server)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(served.Add(1)).To(Equal(position + 1))
				time.Sleep(time.Millisecond)
				permit.Release(limit.Result{Latency: time.Millisecond})
			}()
			synctest.Wait()
		}
		_, barged := servers.TryAcquire(server)
		g.Expect(barged).To(BeFalse())
		g.Expect(servers.Observe(server).InFlight).To(Equal(6))
		held.Release(limit.Result{Latency: time.Millisecond})
		time.Sleep(10 * time.Millisecond)
		g.Expect(served.Load()).To(BeEquivalentTo(5))
		g.Expect(servers.Observe(server).InFlight).To(BeZero())
	})
}

func TestTooLongPredictedWaitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := newSingleSlotServers(15 * time.Millisecond)
		held, _ := servers.TryAcquire(server)
		began := time.Now()
		for _, deadline := range []time.Duration{20 * time.Millisecond, time.Millisecond} {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			_, err := servers.Acquire(ctx, server)
			cancel()
			requireRefusal(g, err, outcome.ReasonOverloaded)
			g.Expect(time.Since(began)).To(BeZero())
		}
		held.Release(limit.Result{Latency: time.Millisecond})
	})
}

func requireRefusal(g *WithT, err error, reason outcome.Reason) {
	g.Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
	g.Expect(outcome.ReasonOf(err)).To(Equal(reason))
	g.Expect(err).To(HaveField("Peer", string(server)))
	if reason == outcome.ReasonOverloaded {
		g.Expect(err).To(HaveField("RetryAfter", BeNumerically(">", 0)))
	}
}

func TestCancelledWaiterLeavesQueueAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := newSingleSlotServers(5 * time.Millisecond)
		held, _ := servers.TryAcquire(server)
		ctx, cancel := context.WithCancel(t.Context())
		refused := make(chan error, 1)
		go func() {
			_, err := servers.Acquire(ctx, server)
			refused <- err
		}()
		synctest.Wait()
		g.Expect(servers.Observe(server).InFlight).To(Equal(2))
		began := time.Now()
		cancel()
		requireRefusal(g, <-refused, outcome.ReasonCancelled)
		g.Expect(time.Since(began)).To(BeZero())
		g.Expect(servers.Observe(server).InFlight).To(Equal(1))
		held.Release(limit.Result{})
	})
}

// TestPermitGrantedToCancelledWaiterIsNotLost repeatedly grants a permit to a
// caller that has been cancelled but has not left the queue yet.
func TestPermitGrantedToCancelledWaiterIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := newSingleSlotServers(time.Millisecond)
		for range 100 {
			held, taken := servers.TryAcquire(server)
			g.Expect(taken).To(BeTrue())
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			group.Go(func() {
				if permit, err := servers.Acquire(ctx, server); err == nil {
					permit.Release(limit.Result{Latency: time.Millisecond})
				}
			})
			synctest.Wait()
			cancel()
			held.Release(limit.Result{Latency: time.Millisecond})
			group.Wait()
			g.Expect(servers.Observe(server).InFlight).To(BeZero())
		}
	})
}

func TestForgetRefusesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := newSingleSlotServers(5 * time.Millisecond)
		held, _ := servers.TryAcquire(server)
		refused := make(chan error, 1)
		go func() {
			_, err := servers.Acquire(t.Context(), server)
			refused <- err
		}()
		synctest.Wait()
		servers.Forget(server)
		requireRefusal(g, <-refused, outcome.ReasonDraining)
		held.Release(limit.Result{})
		g.Expect(servers.Len()).To(BeZero())
	})
}

// TestAFractionServesASteadyStreamOfWaiters checks that new callers do not
// delay those that wait for the paced slot. The first answer raises the limit
// from 0.5 to 0.75; the others count as cancelled, so that it stays there.
func TestAFractionServesASteadyStreamOfWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const latency = 5 * time.Millisecond
		servers := limit.NewServers(limit.Options{StartShare: 1, MaxWait: time.Minute, MaxWaiters: 1000})
		servers.Configure(server, limit.Share{Slots: 0.5, Connections: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var served atomic.Int64
		for range 1000 {
			go func() {
				permit, err := servers.Acquire(ctx, server)
				if err != nil {
					return
				}
				time.Sleep(latency)
				permit.Release(limit.Result{Latency: latency, Cancelled: served.Add(1) > 1})
			}()
			time.Sleep(time.Millisecond)
		}
		g.Expect(served.Load()).To(BeNumerically("~", 150, 5), "sub-requests served by three quarters of a slot in one second")
		cancel()
		time.Sleep(time.Second)
	})
}

func TestUnconfiguredServersLeaveNoState(t *testing.T) {
	g := NewWithT(t)
	servers := limit.NewServers(limit.Options{})
	g.Expect(servers.Observe("unknown")).To(Equal(limit.Observation{Limit: 1}))
	g.Expect(servers.Len()).To(BeZero())
	permit, taken := servers.TryAcquire("unknown")
	g.Expect(taken).To(BeTrue())
	g.Expect(servers.Len()).To(Equal(1))
	permit.Release(limit.Result{Latency: time.Millisecond})
	g.Expect(servers.Len()).To(BeZero())

	permit, _ = servers.TryAcquire("configured later")
	servers.Configure("configured later", limit.Share{Slots: 1, Connections: 1})
	permit.Release(limit.Result{Latency: time.Millisecond})
	g.Expect(servers.Len()).To(Equal(1))
}

func TestStragglersDoNotLowerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := limit.NewServers(limit.Options{StartShare: 1})
		servers.Configure(server, limit.Share{Slots: 100, Connections: 100})
		for number := range 1000 {
			permit, _ := servers.TryAcquire(server)
			latency := 5 * time.Millisecond
			if number%100 == 50 {
				latency *= 20
			}
			permit.Release(limit.Result{Latency: latency})
			g.Expect(servers.Observe(server).Limit).To(Equal(100))
		}
	})
}

func TestFailureShareDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := newSingleSlotServers(time.Millisecond)
		for range 20 {
			time.Sleep(5 * time.Millisecond)
			permit, _ := servers.TryAcquire(server)
			permit.Release(limit.Result{Failed: true})
		}
		g.Expect(servers.Observe(server).FailureShare).To(BeNumerically(">", 0.8))
		time.Sleep(10 * time.Second)
		g.Expect(servers.Observe(server).FailureShare).To(BeNumerically("<", 0.05))
	})
}

func TestAcquireAndReleaseDoNotAllocate(t *testing.T) {
	g := NewWithT(t)
	servers := limit.NewServers(limit.Options{StartShare: 1})
	servers.Configure(server, limit.Share{Slots: 5, Connections: 75})
	allocations := testing.AllocsPerRun(1000, func() {
		permit, err := servers.Acquire(context.Background(), server)
		if err != nil {
			t.Fatal(err)
		}
		_ = servers.Observe(server)
		permit.Release(limit.Result{Latency: time.Millisecond})
	})
	g.Expect(allocations).To(BeZero())
}

// BenchmarkAcquireRelease spreads callers over as many servers as one node has
// at the largest deployment size in the design.
func BenchmarkAcquireRelease(b *testing.B) {
	for _, count := range []int{16, 1250} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			servers, ids := manyServers(count)
			var next atomic.Uint64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				index := next.Add(7919)
				for pb.Next() {
					index++
					permit, taken := servers.TryAcquire(ids[index%uint64(count)])
					if taken {
						permit.Release(limit.Result{Latency: time.Millisecond})
					}
				}
			})
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	servers, ids := manyServers(1250)
	b.ReportAllocs()
	for index := range b.N {
		_ = servers.Observe(ids[index%len(ids)])
	}
}

func manyServers(count int) (*limit.Servers, []target.ServerID) {
	servers := limit.NewServers(limit.Options{StartShare: 1})
	ids := make([]target.ServerID, 0, count)
	for number := range count {
		id := target.ServerID(fmt.Sprintf("10.0.%d.%d:9000", number/250, number%250))
		servers.Configure(id, limit.Share{Slots: 5, Connections: 25})
		ids = append(ids, id)
	}
	return servers, ids
}
