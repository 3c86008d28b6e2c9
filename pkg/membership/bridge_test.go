package membership

import (
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// TestOnlyNodeOfAZone replaces the only node of a zone, then stops the new one as planned. No
// member of that zone is left to report either change, so the other zone must notice both itself
// and not keep the old members.
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
				t.Errorf("%s holds the node that left as %v, want dead", other.address, c.stateAt(other, node.options.Self.ID))
			}
		}
		c.kill(only)
	})
}

// TestSilentZoneIsForgottenAfterHours kills the only node of a zone without a replacement. The
// other zone must hold it as suspect at first, because only its own zone may remove it, and forget
// it after remoteSilentRetention.
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
				t.Errorf("after an hour %s holds the lost node as %v, want suspect", node.address, c.stateAt(node, lost))
			}
		}
		time.Sleep(remoteSilentRetention)
		for _, node := range c.nodes {
			if c.holds(node, lost) {
				t.Errorf("%s still holds the lost node after remoteSilentRetention", node.address)
			}
		}
	})
}

// TestZonesLearnOfEachOtherThroughAThird starts zones with a single seed whose zone is not
// configured, as in a new installation. Each zone must learn of all others.
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
