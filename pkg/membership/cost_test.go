package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/peer"
)

const (
	// changePeriod is the time between two broadcasts, and replacePeriod the time between two
	// replaced nodes, in a busy minute of a zone.
	changePeriod  = 900 * time.Millisecond
	replacePeriod = 9 * time.Second
	// changeBytes is the payload of a broadcast, that of a few updates about back ends.
	changeBytes = 200
	// controlBytesPerSecond is what a node may spend on control, in both directions.
	controlBytesPerSecond = 12 * 1024
)

// TestTrafficStaysWithinTheControlBudget measures a zone while it starts, in a quiet minute, and in
// a minute with changes and replaced nodes.
func TestTrafficStaysWithinTheControlBudget(t *testing.T) {
	for _, size := range []int{2, 10, 30} {
		inCluster(t, func(t *testing.T, c *cluster) {
			c.startZone("oslo", size)
			c.settle(healBound)
			time.Sleep(30 * time.Second)
			starting := c.traffic()
			time.Sleep(time.Minute)
			quiet := c.traffic().Sub(starting)
			c.busyMinute(size)
			busy := c.traffic().Sub(starting).Sub(quiet)
			t.Logf("%d nodes: start %s", size, perNode(starting, size))
			t.Logf("%d nodes: quiet minute %s", size, perNode(quiet, size))
			t.Logf("%d nodes: busy minute %s", size, perNode(busy, size))
			if perSecond := bytesPerSecond(busy, size); perSecond > controlBytesPerSecond {
				t.Errorf("%d nodes: %.0f B/s a node in a busy minute, at most %d allowed", size, perSecond, controlBytesPerSecond)
			}
		})
	}
}

// busyMinute broadcasts a change each changePeriod and replaces a node each replacePeriod.
func (c *cluster) busyMinute(size int) {
	started := time.Now()
	nextReplaced := started
	for number := 0; time.Since(started) < time.Minute; number++ {
		origin := c.nodes[addressOf("oslo", 0)]
		if err := origin.Broadcast("change", make([]byte, changeBytes)); err != nil {
			c.t.Fatal(err)
		}
		if size > 2 && !time.Now().Before(nextReplaced) {
			nextReplaced = nextReplaced.Add(replacePeriod)
			c.replace(addressOf("oslo", 2+number%(size-2)))
		}
		time.Sleep(changePeriod)
	}
}

// replace kills a process and starts a new one at its address.
func (c *cluster) replace(address peer.Address) {
	c.ended = c.ended.Add(c.nodes[address].transport.Stats())
	c.kill(address)
	c.startAt(address)
}

// traffic returns the messages and bytes of all nodes, including replaced ones.
func (c *cluster) traffic() peer.Stats {
	total := c.ended
	for _, node := range c.nodes {
		total = total.Add(node.transport.Stats())
	}
	return total
}

// bytesPerSecond is the traffic of a minute for one node, in both directions.
func bytesPerSecond(minute peer.Stats, size int) float64 {
	return float64(minute.BytesIn+minute.BytesOut) / float64(size) / time.Minute.Seconds()
}

// perNode describes traffic as messages and bytes for one node, in both directions.
func perNode(traffic peer.Stats, size int) string {
	messages := (traffic.MessagesIn + traffic.MessagesOut) / uint64(size)
	bytes := (traffic.BytesIn + traffic.BytesOut) / uint64(size)
	return fmt.Sprintf("%d messages, %d bytes a node", messages, bytes)
}
