package quota_test

import (
	"slices"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// departedSpan is how long a node that has left the node list may count as cut off.
const departedSpan = 20 * time.Second

// TestARelistedNodeIsNotSilentForEver takes a node out of the node list for a few seconds. Nodes
// that coordinate nothing have no contact with it afterwards. If they hold it as cut off for ever,
// they leave a part of the limits to it once they become coordinators, and refuse tenants within them.
func TestARelistedNodeIsNotSilentForEver(t *testing.T) {
	const left = 7
	limits := map[string]route.RateLimit{"a": {PerSecond: 63, Burst: 63}}
	simulate(t, 20, limits, func(d *deployment) {
		d.run(5*time.Second, d.even("a", 44))
		listed := d.list()
		d.setNodesTo(slices.Delete(slices.Clone(listed), left, left+1))
		d.run(3*time.Second, d.even("a", 44))
		d.setNodesTo(listed)
		d.run(departedSpan+5*time.Second, d.even("a", 44))
		for _, node := range d.nodes {
			if silent := node.limiter.Snapshot("").Silent; len(silent) > 0 {
				t.Errorf("%s holds %v as cut off", node.name, silent)
			}
		}
	})
}

// setNodesTo gives every node the same list.
func (d *deployment) setNodesTo(list []quota.Node) {
	for _, node := range d.nodes {
		node.limiter.SetNodes(list)
	}
}
