package membership

import (
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

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
