package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// restingNodes are nodes that share the three servers of one service, one in
// each zone.
type restingNodes struct {
	fleets []*fleet.Fleet
	// pools are those that were used, by server.
	pools map[string]map[*exchange.Pool]bool
}

func newRestingNodes(count, connections int) *restingNodes {
	network := exchangetest.NewNetwork()
	zones := []string{"a", "b", "c"}
	for _, zone := range zones {
		network.Add(zone, func(request exchangetest.Request) exchangetest.Answer {
			answer := exchangetest.Whole("x")
			answer.Header["Id"] = request.Header.Get(exchangetest.Dialect.RequestID)
			return answer
		})
	}
	nodes := &restingNodes{pools: make(map[string]map[*exchange.Pool]bool)}
	callers := fleet.Callers{Total: count, ByZone: map[string]int{"a": count / 3, "b": count / 3, "c": count / 3}}
	for index := range count {
		added := fleet.New(fleet.Settings{
			Local:   fleet.Place{Zone: zones[index%3], Region: zones[index%3]},
			Regions: map[string]string{"a": "a", "b": "b", "c": "c"},
			Dialer:  network, Random: rand.New(rand.NewPCG(1, uint64(index))),
		})
		added.SetCallers(callers)
		added.SetConnections(map[string]int{"s": connections})
		for _, zone := range zones {
			added.Apply(fleet.Server{ID: zone, Service: "s", Address: zone, Zone: zone, Slots: 5}, time.Now())
		}
		nodes.fleets = append(nodes.fleets, added)
	}
	return nodes
}

// ask sends one request of a node, and now and then a hedge to another server.
func (n *restingNodes) ask(g *WithT, index int, hedged bool) {
	asked := choice
	first, _ := n.fleets[index].Acquire(asked, time.Now())
	leases := []*fleet.Lease{first}
	if hedged {
		asked.Excluded = leases
		second, _ := n.fleets[index].Acquire(asked, time.Now())
		leases = append(leases, second)
	}
	for _, lease := range leases {
		attempt := &exchange.Attempt{
			Dialect: &exchangetest.Dialect, Pool: lease.Pool, Request: &exchange.Request{Method: "GET", Target: "/", ID: "r"},
			Deadline: time.Now().Add(time.Second),
		}
		_, err := attempt.Run()
		g.Expect(err).NotTo(HaveOccurred())
		n.fleets[index].Finish(lease, fleet.Answered, 0, time.Now())
		if n.pools[lease.Server.ID] == nil {
			n.pools[lease.Server.ID] = make(map[*exchange.Pool]bool)
		}
		n.pools[lease.Server.ID][lease.Pool] = true
	}
}

// mostResting returns the connections that rest at the server with the most.
func (n *restingNodes) mostResting() int {
	most := 0
	for _, pools := range n.pools {
		resting := 0
		for pool := range pools {
			resting += pool.Resting()
		}
		most = max(most, resting)
	}
	return most
}

// work lets every node send two requests a second for a while, one in sixteen of
// them hedged.
func (n *restingNodes) work(g *WithT, span time.Duration) {
	for sent := range int(span / (500 * time.Millisecond)) {
		for index := range n.fleets {
			n.ask(g, index, (sent+index)%16 == 0)
		}
		time.Sleep(500 * time.Millisecond)
		for _, each := range n.fleets {
			each.Sweep(time.Now())
		}
	}
}

func (n *restingNodes) close() {
	time.Sleep(time.Minute)
	for _, each := range n.fleets {
		each.Sweep(time.Now())
	}
}

// TestRestingConnectionsLeaveRoom: where nodes outnumber the connections of a
// server, those that rest leave half of them to nodes that lose their power and
// come back, whose old connections the server still counts. (valgsok-grown
// fresh-fa94)
func TestRestingConnectionsLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const connections = 68
		many := newRestingNodes(72, connections)
		many.work(g, 12*time.Second)
		g.Expect(many.mostResting()).To(BeNumerically("<=", connections/2))
		many.close()
	})
}

// TestRestsAreLongForFewNodes: where there is room, a connection that was used
// once rests for as long as the server allows.
func TestRestsAreLongForFewNodes(t *testing.T) {
	for _, connections := range []int{0, 41} {
		t.Run(fmt.Sprint(connections, " connections"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				few := newRestingNodes(9, connections)
				few.ask(g, 0, true)
				time.Sleep(10 * time.Second)
				few.fleets[0].Sweep(time.Now())
				g.Expect(few.mostResting()).To(Equal(1))
				few.close()
			})
		})
	}
}
