package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// Limits of tenants over all nodes, as the nodes' settings have them.
const (
	limitWindow    = 5 * time.Second
	limitOvershoot = 0.1
	limitSlack     = 20
)

// Tenants with limits. One asks many times its limit all the time, the other one stays far within
// its own.
const (
	greedyTenant = "greedy"
	modestTenant = "modest"
	// limitRate and limitBurst are the limit of each, in requests a second and in requests:
	// small enough for a busy machine to bring several times as many.
	limitRate  = 10
	limitBurst = 10
	// greedyEvery makes four times the limit, modestEvery a fifth.
	greedyEvery = 25 * time.Millisecond
	modestEvery = 500 * time.Millisecond
	// reachedPart is the least part of its rate that a tenant beyond its limit gets in calms. The
	// nodes aim at more than the rate; lots scatter by some requests in each window, so that the mean
	// of all windows is looked at.
	reachedPart = 0.9
	// refusedPart is the greatest part of the requests within a limit that may be refused in a calm:
	// one that meets a node that has just started.
	refusedPart = 0.02
	// windowStep is the distance between the windows that are looked at in a calm.
	windowStep = 250 * time.Millisecond
)

// limitedTenants returns the tenants with limits.
func limitedTenants() []platformtest.Tenant {
	var tenants []platformtest.Tenant
	for _, name := range []string{greedyTenant, modestTenant} {
		tenants = append(tenants, platformtest.NewTenant(name, standingKey(name)).WithRateLimit(limitRate, limitBurst))
	}
	return tenants
}

// askLimited sends the requests of tenants with limits to all nodes until ctx ends.
func (d *deployment) askLimited(ctx context.Context, seed uint64) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for number, asking := range []struct {
		tenant string
		every  time.Duration
	}{{greedyTenant, greedyEvery}, {modestTenant, modestEvery}} {
		random := rand.New(rand.NewPCG(seed, rovingStream+1+uint64(number)))
		running.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				chosen := d.running[random.IntN(len(d.running))]
				running.Go(func() { d.askAs(ctx, asking.tenant, chosen, fmt.Sprint("q", asking.tenant, "x", count)) })
				sleep(ctx, asking.every)
			}
		})
	}
	return running
}

// askAs sends a request of a tenant with a limit, and checks what can be checked at once.
func (d *deployment) askAs(ctx context.Context, tenant string, chosen *node, id string) {
	got, answer := d.lookUp(ctx, chosen, standingKey(tenant), id)
	got.Tenant = tenant
	d.history.tookLimited(got)
	if err := d.judge(got, answer); err != nil {
		d.history.violated("%s at %s: %v", id, chosen.name, err)
	}
}

// tookLimited notes what a caller of a tenant with a limit has got.
func (h *history) tookLimited(got reply) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.limited = append(h.limited, got)
}

// judgeLimits checks that tenants got no more than their limits, whatever was broken, and in a
// calm no less.
func (d *deployment) judgeLimits(arrivals []arrival, timed bool) {
	for _, tenant := range []string{greedyTenant, modestTenant} {
		sent := sentOf(tenant, d.history.limited, arrivals)
		most, since := mostSent(sent)
		d.t.Logf("%s: %d requests reached servers, at most %d in %s, %.0f allowed", tenant, len(sent), most, limitWindow, limitAllowed())
		if float64(most) > limitAllowed() {
			d.history.violated("%d requests of %s were sent to servers within %s from %s, %.0f are allowed",
				most, tenant, limitWindow, since.Format(time.StampMilli), limitAllowed())
		}
	}
	if timed {
		for _, broken := range checkCalmLimits(d.history, arrivals) {
			d.history.violated("%s", broken)
		}
	}
}

// limitAllowed is the greatest number of requests of a tenant in a window.
func limitAllowed() float64 {
	return (limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOvershoot) + limitSlack
}

// sentSpan is when a request was sent to a server: after its caller began, before it arrived.
type sentSpan struct{ After, Before time.Time }

// sentOf returns when the requests of a tenant that reached servers were sent to them first, by
// the order in which their callers began.
func sentOf(tenant string, replies []reply, arrivals []arrival) []sentSpan {
	first := make(map[string]time.Time)
	for _, each := range arrivals {
		if at, isKnown := first[each.ID]; !isKnown || each.At.Before(at) {
			first[each.ID] = each.At
		}
	}
	var sent []sentSpan
	for _, got := range replies {
		if at, hasArrived := first[got.ID]; hasArrived && got.Tenant == tenant {
			sent = append(sent, sentSpan{got.Sent, at})
		}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].After.Before(sent[j].After) })
	return sent
}

// mostSent returns the greatest number of requests that were sent to servers within a window for
// certain, and when it began: links delay some of them on their way, and then they arrive together.
func mostSent(sent []sentSpan) (most int, since time.Time) {
	for index, first := range sent {
		count := 0
		for _, each := range sent[index:] {
			if !each.Before.After(first.After.Add(limitWindow)) {
				count++
			}
		}
		if count > most {
			most, since = count, first.After
		}
	}
	return most, since
}

// checkCalmLimits checks, over the windows in which and before which nothing was broken, that a tenant
// beyond its limit reaches it, and that one within its limit is refused next to nothing.
func checkCalmLimits(history *history, arrivals []arrival) []string {
	if len(history.limited) == 0 {
		return nil
	}
	var broken []string
	reached, windows := 0, 0
	greedy := sentOf(greedyTenant, history.limited, arrivals)
	begin, end := history.limited[0].Sent, history.limited[len(history.limited)-1].Sent
	for ; begin.Add(limitWindow).Before(end); begin = begin.Add(windowStep) {
		until := begin.Add(limitWindow)
		if !history.calm(begin.Add(-contactBound), until) {
			continue
		}
		windows++
		for _, each := range greedy {
			if !each.After.Before(begin) && each.After.Before(until) {
				reached++
			}
		}
	}
	if float64(reached) < reachedPart*limitRate*limitWindow.Seconds()*float64(windows) {
		broken = append(broken, fmt.Sprintf("%d requests of %s reached servers in %d windows of %s in calms, its limit is %d a second",
			reached, greedyTenant, windows, limitWindow, limitRate))
	}
	asked, refused := 0, 0
	for _, got := range history.limited {
		if got.Tenant != modestTenant || !history.calm(got.Sent.Add(-contactBound), got.Ended) {
			continue
		}
		asked++
		if got.Status == http.StatusTooManyRequests {
			refused++
		}
	}
	if float64(refused) > 1+refusedPart*float64(asked) {
		broken = append(broken, fmt.Sprintf("%d of %d requests of %s were refused with 429 in calms, far within its limit", refused, asked, modestTenant))
	}
	return broken
}

// TestBrokenLimitsAreFound: the checks of limits find what they are for.
func TestBrokenLimitsAreFound(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	// playing returns what callers saw and what servers saw in ten seconds, at a rate each.
	playing := func(greedy float64, modestStatus int) (*history, []arrival) {
		played := newHistory()
		var arrivals []arrival
		for number := range int(greedy * 10) {
			sent := now.Add(time.Duration(float64(number) / greedy * float64(time.Second)))
			id := fmt.Sprint("q", number)
			played.limited = append(played.limited, reply{ID: id, Tenant: greedyTenant, Status: 200, Sent: sent, Ended: sent.Add(time.Millisecond)})
			arrivals = append(arrivals, arrival{ID: id, At: sent.Add(time.Millisecond)}, arrival{ID: id, At: sent.Add(time.Second)})
		}
		for number := range 20 {
			sent := now.Add(time.Duration(number) * modestEvery)
			played.limited = append(played.limited, reply{ID: fmt.Sprint("m", number), Tenant: modestTenant, Status: modestStatus, Sent: sent, Ended: sent})
		}
		return played, arrivals
	}
	right, arrivals := playing(limitRate, 200)
	g.Expect(checkCalmLimits(right, arrivals)).To(BeEmpty())
	most, since := mostSent(sentOf(greedyTenant, right.limited, arrivals))
	g.Expect(most).To(BeNumerically("~", 50, 1), "repeated requests count once")
	g.Expect(since).To(BeTemporally("~", now, limitWindow))

	few, arrivals := playing(0.8*limitRate, 200)
	g.Expect(checkCalmLimits(few, arrivals)).NotTo(BeEmpty())
	few.past = []interval{{Begin: now.Add(-time.Hour), End: now.Add(time.Hour)}}
	g.Expect(checkCalmLimits(few, arrivals)).To(BeEmpty(), "something was broken")

	refused, arrivals := playing(limitRate, http.StatusTooManyRequests)
	g.Expect(checkCalmLimits(refused, arrivals)).To(HaveLen(1))

	many, arrivals := playing(2*limitRate, 200)
	most, _ = mostSent(sentOf(greedyTenant, many.limited, arrivals))
	g.Expect(float64(most)).To(BeNumerically(">", limitAllowed()))
}
