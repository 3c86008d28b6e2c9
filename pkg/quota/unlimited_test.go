package quota_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// countingEvents counts the events of tenants.
type countingEvents struct {
	ignoredEvents
	atLimit, belowLimit atomic.Int64
}

func (c *countingEvents) AtLimit(string, quota.Verdict, quota.AccountStats) { c.atLimit.Add(1) }

func (c *countingEvents) BelowLimit(string, quota.AccountStats, time.Duration) { c.belowLimit.Add(1) }

// TestATenantThatLosesItsLimitIsNoLongerAtIt guards against tenants that are shown at their limit
// forever: each AtLimit event must be followed by a BelowLimit event.
func TestATenantThatLosesItsLimitIsNoLongerAtIt(t *testing.T) {
	for name, after := range map[string]struct {
		limit   route.RateLimit
		isKnown bool
	}{
		"without a limit":    {route.RateLimit{}, true},
		"no longer a tenant": {route.RateLimit{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			events := &countingEvents{}
			synctest.Test(t, func(t *testing.T) {
				limit := route.RateLimit{PerSecond: 5, Burst: 5}
				var isOver atomic.Bool
				limiter := quota.New(quota.Options{
					Local: "node-0", Zone: "zone", Bounds: bounds, Events: events, Incarnation: 1,
					Transport: &countingTransport{handlers: make(map[peer.Kind]peer.Handler)},
					LimitOf: func(string) (route.RateLimit, bool) {
						if isOver.Load() {
							return after.limit, after.isKnown
						}
						return limit, true
					},
					KnowsTenants: func() bool { return true },
				})
				limiter.SetNodes([]quota.Node{{Name: "node-0", Zone: "zone", Address: "node-0"}})
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					// Run ends without an error when its context does.
					_ = limiter.Run(ctx)
				}()
				for number := range 100 {
					limiter.Admit("tenant", limit, fmt.Sprint(number), time.Now())
					time.Sleep(20 * time.Millisecond)
				}
				isOver.Store(true)
				time.Sleep(time.Second)
				stop()
				<-ended
			})
			g := NewWithT(t)
			g.Expect(events.atLimit.Load()).To(Equal(int64(1)))
			g.Expect(events.belowLimit.Load()).To(Equal(int64(1)))
		})
	}
}
