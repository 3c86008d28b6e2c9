package membership

import (
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// TestOnlyNodeOfAZone replaces the only node of a zone, and stops the new one as
// planned. The other zone must not keep what is gone.
func TestOnlyNodeOfAZone(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startZone("oslo", 3)
		c.startZone("bergen", 1)
		c.settle(joinBound)
		only := addressOf("bergen", 0)
		c.kill(only)
		c.startAt(only)
		c.settle(joinBound)
		node := c.nodes[only]
		if err := node.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		node.cancel()
		<-node.done
		time.Sleep(2 * time.Second)
		for _, other := range c.nodes {
			if other != node && c.stateAt(other, node.options.Self.ID) != Dead {
				t.Errorf("%s holds the node that left as %v", other.address, c.stateAt(other, node.options.Self.ID))
			}
		}
		c.kill(only)
	})
}

// TestSilentZoneIsForgottenAfterHours cuts a zone off for good.
func TestSilentZoneIsForgottenAfterHours(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startZone("oslo", 2)
		c.startZone("bergen", 1)
		c.settle(joinBound)
		lost := c.nodes[addressOf("bergen", 0)].options.Self.ID
		c.kill(addressOf("bergen", 0))
		time.Sleep(time.Hour)
		for _, node := range c.nodes {
			if c.stateAt(node, lost) != Suspect {
				t.Errorf("after an hour %s holds the lost node as %v", node.address, c.stateAt(node, lost))
			}
		}
		time.Sleep(remoteSilentRetention)
		for _, node := range c.nodes {
			if c.holds(node, lost) {
				t.Errorf("%s still holds the lost node", node.address)
			}
		}
	})
}

// TestZonesLearnOfEachOtherThroughAThird starts zones that are given one seed
// in a zone that the settings do not name, as a new installation is.
func TestZonesLearnOfEachOtherThroughAThird(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.seeds.Store(&[]Seed{{Address: addressOf("oslo", 0)}})
		zones := []string{"oslo", "bergen", "trondheim", "tromso"}
		for _, zone := range zones {
			c.start(zone, 0)
		}
		time.Sleep(joinBound)
		for _, node := range c.nodes {
			for _, zone := range zones {
				if zone == string(node.options.Self.Zone) {
					continue
				}
				if held := node.Alive(target.Zone(zone)); len(held) != 1 {
					t.Errorf("%s knows %d nodes of %s, want 1", node.address, len(held), zone)
				}
			}
		}
	})
}
