package front

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/admission"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Constants of admission.
const (
	// leastPerSlot is the number of requests for each slot of this node's share
	// of a service below which the limit does not fall.
	leastPerSlot = 2
	// admissionShare is the share of a request's target that it may wait for
	// its admission: one that is refused by then can still come back in time.
	admissionShare = 0.25
	// leastAdmissionWait is allowed where a route has no target.
	leastAdmissionWait = 50 * time.Millisecond
)

// newGates returns the gates of the routes, by the first of their services.
// Routes over the same shards share a gate, since they share the servers.
//
// A gate admits everything until a request fails for want of room at servers.
// Latency is no sign of overload here, since slow, pausing and lost servers make
// requests longer without any load.
func newGates(servers *fleet.Fleet, maxInFlight int) *admission.Group[string] {
	return admission.NewGroup(func(service string) admission.Options {
		return admission.Options{
			StartLimit: maxInFlight, MaxLimit: maxInFlight, Tolerance: math.Inf(1),
			LeastLimit: func() int { return 1 + int(leastPerSlot*servers.SlotsShare(service)) },
		}
	})
}

// overloaded reports whether a request failed for want of room at servers. One
// that succeeds although a server is full is no sign of overload: single
// servers are slow, fail and refuse at any load.
func overloaded(plan fanout.Plan, result fanout.Result) bool {
	return result.Shed > 0 && result.Got < plan.Required
}

// late reports whether a request took until its target or longer.
func late(plan fanout.Plan, result fanout.Result) bool {
	return result.Reason == fanout.StopTarget || !plan.Target.IsZero() && time.Now().After(plan.Target)
}

// admit waits until the request may run. The error is an *outcome.Error with
// when to come back.
func (c *conversation) admit(plan fanout.Plan) (*admission.Ticket, error) {
	gate := c.handler.gates.For(plan.Services[0])
	latest := c.deadline
	if !plan.Target.IsZero() {
		latest = plan.Target
	}
	ctx, cancel := context.WithTimeout(c.received.Context(), admissionWait(c.route))
	defer cancel()
	ticket, err := gate.Acquire(ctx, admission.Request{
		Tenant: c.route.Name, Class: classOf(c.route), Policy: c.policy.Admission, Deadline: latest,
	})
	c.waited = time.Since(c.began)
	return ticket, err
}

// admissionWait returns how long a request may wait for its admission.
func admissionWait(found *route.Route) time.Duration {
	return max(leastAdmissionWait, time.Duration(admissionShare*float64(found.Target)))
}

// classOf returns the class in which a route's requests wait.
func classOf(found *route.Route) policy.Class {
	switch found.Priority {
	case 0:
		return policy.ClassTicker
	case 1:
		return policy.ClassInteractive
	}
	return policy.ClassArchive
}

// refuseAdmission answers a request that was not admitted, at once and with
// when to come back.
func (c *conversation) refuseAdmission(plan fanout.Plan, err error) {
	if c.received.Context().Err() != nil {
		c.recordRefusal(statusClientGone, outcome.ReasonCancelled)
		panic(http.ErrAbortHandler)
	}
	wait := max(c.comeBack(plan), c.handler.overloads.note(plan.Services[0], time.Now()))
	var refused *outcome.Error
	if errors.As(err, &refused) {
		wait = max(wait, refused.RetryAfter)
	}
	state := c.handler.gates.For(plan.Services[0]).Observe()
	c.refusedBy = &state
	c.refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, min(wait, greatestWait))
}
