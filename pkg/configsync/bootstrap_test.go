package configsync

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestReplacementIsReadyFromPeersWhileTheStoreIsAway checks that a replaced node becomes ready from
// its peers alone while the store is unavailable.
func TestReplacementIsReadyFromPeersWhileTheStoreIsAway(t *testing.T) {
	runInCluster(t, 6, 2, nil, func(t *testing.T, c *cluster) {
		version := mustPublish(t, c.nodes[0], "first")
		time.Sleep(spreadTime)
		c.store.SetUnavailable(true)
		c.restart(c.nodes[3])
		if c.nodes[3].replica.Ready() {
			t.Fatal("ready before any peer or the store was reached")
		}
		time.Sleep(startTime)
		if !c.nodes[3].replica.Ready() {
			t.Error("replaced node is not ready")
		}
		c.wantEverywhere(t, version)
	})
}

// TestReplacementPrefersPeersToAStoreThatWentBack checks that a replaced node takes the newer
// version of its peers, not the older one of a rolled-back store, and reports the store as behind.
func TestReplacementPrefersPeersToAStoreThatWentBack(t *testing.T) {
	runInCluster(t, 3, 1, func(o *Options) { o.Repairer = nil }, func(t *testing.T, c *cluster) {
		backup := c.store.Snapshot()
		version := mustPublish(t, c.nodes[0], "first")
		time.Sleep(spreadTime)
		c.store.Restore(backup)
		c.restart(c.nodes[2])
		time.Sleep(startTime)
		c.wantEverywhere(t, version)
		if status := c.nodes[2].replica.Status(); !status.Ready || status.Store.Behind != 1 {
			t.Errorf("got status %+v, want ready with the store behind in 1 template", status)
		}
	})
}

// TestNodeWithoutStoreAndReadyPeersIsNotReady checks that nodes which reach neither the store nor a
// ready peer stay not ready, or become ready after StandaloneAfter if that is set.
func TestNodeWithoutStoreAndReadyPeersIsNotReady(t *testing.T) {
	for _, aloneAfter := range []time.Duration{0, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			tune := func(o *Options) { o.StandaloneAfter = aloneAfter }
			c := newCluster(3, 1, func(o *Options) { tune(o); o.Store.(*reachableStore).isCut.Store(true) })
			defer c.close()
			time.Sleep(50 * time.Second)
			for _, node := range c.nodes {
				if node.replica.Ready() {
					t.Errorf("%s is ready without the store or a ready peer", node.ID)
				}
			}
			time.Sleep(time.Minute)
			if got := c.nodes[0].replica.Ready(); got != (aloneAfter > 0) {
				t.Errorf("with StandaloneAfter %v: ready is %v", aloneAfter, got)
			}
		})
	}
}
