package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/owner"
)

// TestAShortRequestLosesNoOwner: a request reaches its deadline, which is not a whole number of
// milliseconds away, before its servers answer. This must not exclude its owners, and nothing is
// sent twice just before the deadline.
func TestAShortRequestLosesNoOwner(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		for number := range shardCount {
			c.hang(serverName(number, "near"))
			c.hang(serverName(number, "far"))
		}
		began := time.Now()
		plan := fanout.Plan{
			Kind: "k", Services: c.services, Required: c.required, Repeatable: true, MaxAttempts: maxAttempts,
			Deadline: began.Add(4900 * time.Microsecond), Assumed: 10 * time.Millisecond, MaxServerWait: time.Second, Hedge: hedge, ExtraShare: 1,
		}
		result := requester.runner.Run(c.t.Context(), plan, &exchange.Request{Method: "GET", Target: "/", ID: "r"})
		g.Expect(result.Reason).To(Equal(fanout.StopDeadline))
		g.Expect(time.Since(began)).To(Equal(4900 * time.Microsecond))
		time.Sleep(time.Millisecond)
		for _, name := range owners {
			g.Expect(requester.hasLost(name)).To(BeFalse(), name)
		}
		g.Expect(c.maxExecutions()).To(Equal(1))
	})
}

// TestConnectTimeoutOfShortRequestLosesNoOwner: the deadline passes while the connection is still
// being opened, so that the question is never sent. This must not exclude the owner.
func TestConnectTimeoutOfShortRequestLosesNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, known, nodes := deployment(4, 2)
		transport, events := &fakeTransport{}, &ownerEvents{}
		client := owner.NewClient(rosterOf(nodes[0], known, nodes), transport, loadshed.NewAdmitter(), events)
		plan := &fanout.Plan{Deadline: time.Now().Add(5 * time.Millisecond)}
		var reported []error
		client.Ask(fanout.Question{Owner: nodes[1].Name, Plan: plan, Request: &exchange.Request{}}, func(report fanout.Report) {
			reported = append(reported, report.Err)
		})
		ended := &outcome.Error{Step: "connect", Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline, Cause: context.DeadlineExceeded}
		transport.opened[0](nil, ended)
		g.Expect(reported).To(Equal([]error{ended}))
		g.Expect(events.lostOwners).To(BeEmpty())
	})
}
