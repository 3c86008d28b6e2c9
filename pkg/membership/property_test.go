package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// convergenceBound is the virtual time after the last fault within which all lists must agree with
// the running processes.
const convergenceBound = 90 * time.Second

// faultKind is a kind of fault, or the end of one, in a cluster.
type faultKind int

const (
	killNode faultKind = iota
	startNode
	freezeNode
	thawNode
	cutTwoWays
	cutOneWay
	healCuts
	loseMessages
)

// fault is one step of a scenario: after wait, kind is applied to the nodes that the numbers first
// and other select.
type fault struct {
	wait  time.Duration
	kind  faultKind
	first int
	other int
}

type scenario struct {
	zones  []int
	faults []fault
}

var zoneNames = []string{"oslo", "bergen", "trondheim"}

func drawScenario(t *rapid.T, kinds []faultKind) scenario {
	faults := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			wait:  rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 3 * time.Second, 12 * time.Second, time.Minute}).Draw(t, "wait"),
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			first: rapid.IntRange(0, 99).Draw(t, "first"),
			other: rapid.IntRange(0, 99).Draw(t, "other"),
		}
	})
	return scenario{
		zones:  rapid.SliceOfN(rapid.IntRange(1, 6), 1, len(zoneNames)).Draw(t, "zones"),
		faults: rapid.SliceOfN(faults, 1, 8).Draw(t, "faults"),
	}
}

// slots returns the addresses at which nodes of the scenario may run.
func (s scenario) slots() []peer.Address {
	var slots []peer.Address
	for zone, size := range s.zones {
		for number := range size {
			slots = append(slots, addressOf(zoneNames[zone], number))
		}
	}
	return slots
}

// startAll starts the nodes. The seeds include every slot.
func (s scenario) startAll(c *cluster) {
	var seeds []Seed
	for zone, size := range s.zones {
		for number := range size {
			seeds = append(seeds, Seed{Address: addressOf(zoneNames[zone], number), Zone: target.Zone(zoneNames[zone])})
		}
	}
	c.seeds.Store(&seeds)
	for zone, size := range s.zones {
		for number := range size {
			c.start(zoneNames[zone], number)
		}
	}
}

// apply applies a fault. A fault that is impossible in the current state has no effect.
func (s scenario) apply(c *cluster, f fault) {
	time.Sleep(f.wait)
	slots := s.slots()
	slot := slots[f.first%len(slots)]
	node := c.nodes[slot]
	switch f.kind {
	case killNode:
		if node != nil {
			c.kill(slot)
		}
	case startNode:
		if node == nil {
			c.startAt(slot)
		}
	case freezeNode:
		if node != nil {
			c.freeze(slot)
		}
	case thawNode:
		if node != nil {
			c.thaw(slot)
		}
	case cutTwoWays:
		split := f.other % len(slots)
		c.network.Cut(slots[:split], slots[split:])
	case cutOneWay:
		c.network.CutOneWay([]peer.Address{slot}, slots[:f.other%len(slots)])
	case healCuts:
		c.network.Heal()
	case loseMessages:
		c.network.SetLoss(float64(f.other%20) / 100)
	}
}

// endFaults ends all faults.
func (s scenario) endFaults(c *cluster) {
	c.network.Heal()
	c.network.SetLoss(0)
	for _, address := range c.addresses() {
		c.thaw(address)
	}
}

// run runs a scenario in virtual time and returns a description of what is wrong at its end. It
// calls check after each step and stops at the first problem.
func (s scenario) run(t *testing.T, check func(c *cluster) string) string {
	var problem string
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stop()
		s.startAll(c)
		time.Sleep(joinBound)
		for _, each := range s.faults {
			s.apply(c, each)
			if text := check(c); text != "" {
				problem = text
				return
			}
		}
		s.endFaults(c)
		problem = c.settleWithin(convergenceBound)
	})
	return problem
}

// TestListsAgreeAfterAnyFaults runs random kills, starts, freezes, cuts and message loss. The
// oracle is the set of running processes: within convergenceBound after the last fault, every node
// must hold exactly those of its zone as alive, and only running ones of the other zones.
func TestListsAgreeAfterAnyFaults(t *testing.T) {
	kinds := []faultKind{killNode, startNode, freezeNode, thawNode, cutTwoWays, cutOneWay, healCuts, loseMessages}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := drawScenario(rt, kinds)
		if text := drawn.run(t, func(*cluster) string { return "" }); text != "" {
			rt.Fatal(text)
		}
	})
}

// TestHealthyNodesStayAlive runs kills, starts and freezes only. A node that was never frozen must
// never be held as dead by another such node, and must never have to refute an accusation.
func TestHealthyNodesStayAlive(t *testing.T) {
	kinds := []faultKind{killNode, startNode, freezeNode, thawNode}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := drawScenario(rt, kinds)
		everFrozen := make(map[peer.Address]bool)
		check := func(c *cluster) string {
			for address, node := range c.nodes {
				everFrozen[address] = everFrozen[address] || node.frozen
			}
			return accusedHealthyNode(c, everFrozen)
		}
		if text := drawn.run(t, check); text != "" {
			rt.Fatal(text)
		}
	})
}

// accusedHealthyNode describes a node that had to refute although it was never frozen. It returns
// an empty text if there is none.
func accusedHealthyNode(c *cluster, everFrozen map[peer.Address]bool) string {
	for _, address := range c.addresses() {
		node := c.nodes[address]
		if everFrozen[address] {
			continue
		}
		if count := node.Stats().Refutations; count > 0 {
			return fmt.Sprintf("%s was never frozen but had to refute %d times", address, count)
		}
	}
	return ""
}
