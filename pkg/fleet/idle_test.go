package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// idleNodes are nodes that share the three servers of one service, one in each zone.
type idleNodes struct {
	fleets []*fleet.Fleet
	// pools are the pools that have been used, by server.
	pools map[string]map[*exchange.Pool]bool
}

func newIdleNodes(count, connections int) *idleNodes {
	network := exchangetest.NewNetwork()
	zones := []string{"a", "b", "c"}
	for _, zone := range zones {
		network.Add(zone, func(request exchangetest.Request) exchangetest.Answer {
			answer := exchangetest.Whole("x")
			answer.Header["Id"] = request.Header.Get(exchangetest.Dialect.RequestID)
			return answer
		})
	}
	nodes := &idleNodes{pools: make(map[string]map[*exchange.Pool]bool)}
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

// sendRequest sends one request of a node and, if hedged, a hedge to another server.
func (n *idleNodes) sendRequest(g *WithT, index int, hedged bool) {
	request := choice
	first, _ := n.fleets[index].Acquire(request, time.Now())
	leases := []*fleet.Lease{first}
	if hedged {
		request.Excluded = leases
		second, _ := n.fleets[index].Acquire(request, time.Now())
		leases = append(leases, second)
	}
	for _, lease := range leases {
		_, err := newAttempt(lease).Run()
		g.Expect(err).NotTo(HaveOccurred())
		n.fleets[index].Finish(lease, fleet.Answered, 0, time.Now())
		if n.pools[lease.Server.ID] == nil {
			n.pools[lease.Server.ID] = make(map[*exchange.Pool]bool)
		}
		n.pools[lease.Server.ID][lease.Pool] = true
	}
}

// maxIdle returns the number of idle connections of the server that has the most.
func (n *idleNodes) maxIdle() int {
	highest := 0
	for _, pools := range n.pools {
		idle := 0
		for pool := range pools {
			idle += pool.Idle()
		}
		highest = max(highest, idle)
	}
	return highest
}

// sendLoad lets every node send two requests per second, one in sixteen of them hedged.
func (n *idleNodes) sendLoad(g *WithT, span time.Duration) {
	for sent := range int(span / (500 * time.Millisecond)) {
		for index := range n.fleets {
			n.sendRequest(g, index, (sent+index)%16 == 0)
		}
		time.Sleep(500 * time.Millisecond)
		for _, each := range n.fleets {
			each.Sweep(time.Now())
		}
	}
}

func (n *idleNodes) close() {
	time.Sleep(time.Minute)
	for _, each := range n.fleets {
		each.Sweep(time.Now())
	}
}

// TestIdleConnectionsLeaveRoom: where there are more nodes than connections to a server, the idle
// connections leave half of them free for nodes that lose power and come back, whose old
// connections the server still counts.
func TestIdleConnectionsLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const connections = 68
		many := newIdleNodes(72, connections)
		many.sendLoad(g, 12*time.Second)
		g.Expect(many.maxIdle()).To(BeNumerically("<=", connections/2))
		many.close()
	})
}

// TestIdleConnectionsAreKeptForFewNodes: where there are enough connections, one that was used once
// is kept for as long as the server allows.
func TestIdleConnectionsAreKeptForFewNodes(t *testing.T) {
	for _, connections := range []int{0, 41} {
		t.Run(fmt.Sprint(connections, " connections"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				few := newIdleNodes(9, connections)
				few.sendRequest(g, 0, true)
				time.Sleep(10 * time.Second)
				few.fleets[0].Sweep(time.Now())
				g.Expect(few.maxIdle()).To(Equal(1))
				few.close()
			})
		})
	}
}

// TestIdleConnectionsLeaveEachNodeOneMore: where there are few nodes, the idle connections of all
// of them to a server leave one new connection for each node, since all may lose power at once.
// Without that, servers rejected 906 connections.
func TestIdleConnectionsLeaveEachNodeOneMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const nodes, connections = 9, 31
		few := newIdleNodes(nodes, connections)
		for range 3 {
			few.saturate(g)
		}
		g.Expect(few.maxIdle()).To(BeNumerically("<=", connections-nodes))
		few.close()
	})
}

// saturate lets every node send as many concurrent requests as its limits allow.
func (n *idleNodes) saturate(g *WithT) {
	var requests sync.WaitGroup
	for _, node := range n.fleets {
		for {
			lease, _ := node.Acquire(choice, time.Now())
			if lease == nil {
				break
			}
			if n.pools[lease.Server.ID] == nil {
				n.pools[lease.Server.ID] = make(map[*exchange.Pool]bool)
			}
			n.pools[lease.Server.ID][lease.Pool] = true
			requests.Go(func() {
				_, err := newAttempt(lease).Run()
				g.Expect(err).NotTo(HaveOccurred())
				node.Finish(lease, fleet.Answered, 0, time.Now())
			})
		}
	}
	requests.Wait()
}

// newAttempt returns an attempt to send a request to the server of a lease.
func newAttempt(lease *fleet.Lease) *exchange.Attempt {
	return &exchange.Attempt{
		Dialect: &exchangetest.Dialect, Pool: lease.Pool, Request: &exchange.Request{Method: "GET", Target: "/", ID: "r"},
		Deadline: time.Now().Add(time.Second),
	}
}

// TestNoIdleConnectionIsUsedAfterASuspension: after a suspension of the machine no idle connection
// is used, since the other side may have closed it.
func TestNoIdleConnectionIsUsedAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes := newIdleNodes(3, 41)
		nodes.sendLoad(g, 2*time.Second)
		g.Expect(nodes.maxIdle()).To(BeNumerically(">", 0))
		for _, each := range nodes.fleets {
			each.DropIdle()
		}
		g.Expect(nodes.maxIdle()).To(BeZero())
		nodes.close()
	})
}
