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

// claims counts trials for all nodes and tells them nothing else, so that a test sees what
// owners tell. It is safe for concurrent use.
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

// crashAll lets every server end with the first request that it runs.
func (c *cluster) crashAll() {
	for name, each := range c.byName {
		each.Respond = func(exchangetest.Request) exchangetest.Answer {
			c.servers.Remove(name)
			return exchangetest.Answer{Delay: 10 * time.Millisecond}
		}
	}
}

// TestOwnersTellWhichServersEnded, so that the asking node does not send a deadly request to
// the other servers itself; later tries at any node of it are trials.
func TestOwnersTellWhichServersEnded(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		c.crashAll()
		result, took := c.ask(c.t.Context(), requester)
		g.Expect(result.AnsweredCount).To(BeZero())
		g.Expect(result.Outcome).To(Equal(outcome.Unknown))
		g.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		crashed := c.arrivals("near") + c.arrivals("far")
		g.Expect(crashed).To(BeNumerically("<=", shardCount+groupCount*2), "two ends of each owner are retried at once")
		for _, name := range append(owners, requester.Name) {
			for range 2 {
				result, _ = c.ask(c.t.Context(), c.node(name))
				g.Expect(result.Reason).To(Equal(fanout.StopQuarantined))
			}
			g.Expect(result.Outcome).To(Equal(outcome.NotRun))
		}
		g.Expect(c.arrivals("near")+c.arrivals("far")-crashed).To(BeNumerically("<=", 2), "two trials of all nodes")
	})
}

// TestAnOwnerKeepsARequestFromTheShardWhoseServersItEnds and leaves its trials to the asking node;
// the other shards answer.
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
			nodeRunner := c.node(name).nodeRunner
			shardFingerprint := request.Fingerprint(nodeRunner.Dialect).At(c.services[0])
			nodeRunner.Quarantine.RecordCrashes(shardFingerprint, []fleet.Incarnation{{ID: "x"}, {ID: "y"}, {ID: "z"}}, time.Now())
		}
		for range 4 {
			result, _ := c.ask(c.t.Context(), requester)
			g.Expect(result.AnsweredCount).To(Equal(shardCount - 1))
			g.Expect(result.Parts[0]).To(BeNil())
		}
		g.Expect(arrivals()).To(Equal(quarantine.ImmediateTrials), "two trials of the asking node")
		// A node that knows nothing of it asks the owners, which send it nowhere.
		for _, each := range c.nodes {
			if runner := each.nodeRunner; runner.Quarantine.IsIdle() {
				result, _ := c.ask(c.t.Context(), each)
				g.Expect(result.AnsweredCount).To(BeNumerically(">=", shardCount-1))
				g.Expect(arrivals()-quarantine.ImmediateTrials).To(BeNumerically("<=", maxAttempts), "what it asks itself")
				return
			}
		}
	})
}
