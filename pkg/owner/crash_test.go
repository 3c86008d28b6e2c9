package owner_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// claims is a quarantine ledger that grants each trial once among all nodes and passes on nothing
// else, so that nodes learn of crashes from owners only. It is safe for concurrent use.
type claims struct {
	mutex sync.Mutex
	// taken is guarded by mutex.
	taken map[quarantine.Note]bool
}

func (c *claims) ClaimNote(_ context.Context, note quarantine.Note) (bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isFree := !c.taken[note]
	c.taken[note] = true
	return isFree, nil
}

func (*claims) AddNotes(context.Context, []quarantine.Note) error                        { return nil }
func (*claims) RemoveNotes(context.Context, []quarantine.Note) error                     { return nil }
func (*claims) StateChanged(exchange.Fingerprint, quarantine.State, []fleet.Incarnation) {}
func (*claims) LedgerFailed(string, error)                                               {}

// crashAll makes every server crash with the first request that it runs.
func (c *cluster) crashAll() {
	for name, each := range c.byName {
		each.Respond = func(exchangetest.Request) exchangetest.Answer {
			c.servers.Remove(name)
			return exchangetest.Answer{Delay: 10 * time.Millisecond}
		}
	}
}

// TestOwnersTellWhichServersEnded: owners report which servers crashed, so that the asking node does
// not send a request that crashes servers to the remaining servers itself. Later attempts at any
// node are quarantine trials.
func TestOwnersTellWhichServersEnded(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		c.crashAll()
		result, took := c.ask(c.t.Context(), requester)
		g.Expect(result.AnsweredCount).To(BeZero())
		g.Expect(result.Outcome).To(Equal(outcome.Unknown))
		g.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		crashed := c.arrivals("near") + c.arrivals("far")
		g.Expect(crashed).To(BeNumerically("<=", shardCount+groupCount*2), "two crashes per owner are retried at once")
		for _, name := range append(owners, requester.Name) {
			for range 2 {
				result, _ = c.ask(c.t.Context(), c.node(name))
				g.Expect(result.Reason).To(Equal(fanout.StopQuarantined))
			}
			g.Expect(result.Outcome).To(Equal(outcome.NotRun))
		}
		g.Expect(c.arrivals("near")+c.arrivals("far")-crashed).To(BeNumerically("<=", 2), "two trials by all nodes together")
	})
}

// TestAnOwnerKeepsARequestFromTheShardWhoseServersItEnds: an owner does not send a request to a
// shard whose servers it crashes, and leaves the trials to the asking node. The other shards answer.
func TestAnOwnerKeepsARequestFromTheShardWhoseServersItEnds(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		c.required = shardCount - 1
		places := []string{"near", "far"}
		for _, place := range places {
			c.byName[serverName(0, place)].Respond = func(exchangetest.Request) exchangetest.Answer {
				return exchangetest.Answer{Delay: 10 * time.Millisecond}
			}
		}
		arrivals := func() int {
			return len(c.byName[serverName(0, places[0])].Requests()) + len(c.byName[serverName(0, places[1])].Requests())
		}
		request := &exchange.Request{Method: "GET", Target: "/", Header: http.Header{"Name": {"value"}}}
		for _, name := range append(owners, requester.Name) {
			nodeRunner := c.node(name).runner
			shardFingerprint := request.Fingerprint(nodeRunner.Dialect).At(c.services[0])
			nodeRunner.Quarantine.RecordCrashes(shardFingerprint, []fleet.Incarnation{{ID: "x"}, {ID: "y"}, {ID: "z"}}, time.Now())
		}
		for range 4 {
			result, _ := c.ask(c.t.Context(), requester)
			g.Expect(result.AnsweredCount).To(Equal(shardCount - 1))
			g.Expect(result.Parts[0]).To(BeNil())
		}
		g.Expect(arrivals()).To(Equal(quarantine.ImmediateTrials), "two trials by the asking node")
		// A node that does not know of the crashes asks the owners, which do not send the request on.
		for _, each := range c.nodes {
			if runner := each.runner; runner.Quarantine.IsIdle() {
				result, _ := c.ask(c.t.Context(), each)
				g.Expect(result.AnsweredCount).To(BeNumerically(">=", shardCount-1))
				g.Expect(arrivals()-quarantine.ImmediateTrials).To(BeNumerically("<=", maxAttempts), "requests that the node sends itself")
				return
			}
		}
	})
}
