package configsync

import (
	"testing"
	"testing/synctest"
	"time"
)

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
			t.Error("not ready")
		}
		c.wantEverywhere(t, version)
	})
}

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
			t.Errorf("got %+v", status)
		}
	})
}

func TestNodeWithoutStoreAndReadyPeersIsNotReady(t *testing.T) {
	for _, aloneAfter := range []time.Duration{0, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			tune := func(o *Options) { o.StandaloneAfter = aloneAfter }
			c := newCluster(3, 1, func(o *Options) { tune(o); o.Store.(*reachableStore).isCut.Store(true) })
			defer c.close()
			time.Sleep(50 * time.Second)
			for _, node := range c.nodes {
				if node.replica.Ready() {
					t.Errorf("%s is ready", node.ID)
				}
			}
			time.Sleep(time.Minute)
			if got := c.nodes[0].replica.Ready(); got != (aloneAfter > 0) {
				t.Errorf("with StandaloneAfter %v: ready is %v", aloneAfter, got)
			}
		})
	}
}
