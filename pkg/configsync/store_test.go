package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/publish"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// TestStoreKilledRightAfterItAccepted checks that a change whose store becomes unavailable right
// after the write still reaches every node through peers.
func TestStoreKilledRightAfterItAccepted(t *testing.T) {
	runInCluster(t, 30, 3, nil, func(t *testing.T, c *cluster) {
		c.store.SetDelay(time.Millisecond)
		version := mustPublish(t, c.nodes[0], "first")
		c.store.SetUnavailable(true)
		time.Sleep(spreadTime)
		c.wantEverywhere(t, version)
	})
}

// TestSlowRepliesOfTheStoreAreNotTakenForARollback guards against false reports of a rollback: a
// slow reply of the store may be older than a change that the node received meanwhile.
func TestSlowRepliesOfTheStoreAreNotTakenForARollback(t *testing.T) {
	slow := func(o *Options) { o.Store.(*reachableStore).replyDelay = 200 * time.Millisecond }
	runInCluster(t, 6, 2, slow, func(t *testing.T, c *cluster) {
		var version template.Version
		for number := range 20 {
			version = mustPublish(t, c.nodes[number%6], "author")
			time.Sleep(spreadTime)
		}
		time.Sleep(spreadTime)
		c.wantEverywhere(t, version)
		for _, node := range c.nodes {
			if stats := node.replica.Stats(); stats.StoreBehind != 0 {
				t.Errorf("%s reported the store behind %d times", node.ID, stats.StoreBehind)
			}
		}
	})
}

// TestStoreThatWentBackIsRefusedReportedAndRepaired checks that after a rollback of the store the
// nodes refuse to publish on top of it, keep the newer version, report the store as behind and
// write the version back.
func TestStoreThatWentBackIsRefusedReportedAndRepaired(t *testing.T) {
	runInCluster(t, 6, 2, nil, func(t *testing.T, c *cluster) {
		mustPublish(t, c.nodes[0], "first")
		backup := c.store.Snapshot()
		version := mustPublish(t, c.nodes[0], "second")
		time.Sleep(spreadTime)
		c.store.Restore(backup)
		if _, err := c.nodes[1].publish(ticker, "third"); !errors.Is(err, publish.ErrStoreBehind) {
			t.Fatalf("publishing on a rolled-back store returned error %v, want ErrStoreBehind", err)
		}
		time.Sleep(30 * time.Second)
		c.wantEverywhere(t, version)
		if got := c.storedVersion(ticker); got != version {
			t.Errorf("the store holds %v, want %v", got, version)
		}
		var reported, repaired uint64
		for _, node := range c.nodes {
			stats := node.replica.Stats()
			reported, repaired = reported+stats.StoreBehind, repaired+stats.Repaired
			if behind := node.replica.Status().Store.Behind; behind != 0 {
				t.Errorf("%s still reports the store behind in %d templates", node.ID, behind)
			}
		}
		if reported == 0 || repaired == 0 {
			t.Errorf("store reported behind %d times and repaired %d times, want both above 0", reported, repaired)
		}
	})
}

// TestStoreThatWentBackDuringAChangeIsRepaired guards against a rollback that is detected late. A
// change that is accepted during a watch may be newer than the state that the watch returns, so it
// is left out of that comparison; without an immediate second read it was compared only by the
// watch after next.
func TestStoreThatWentBackDuringAChangeIsRepaired(t *testing.T) {
	runInCluster(t, 6, 3, nil, func(t *testing.T, c *cluster) {
		backup := c.store.Snapshot()
		version := mustPublish(t, c.nodes[0], "first")
		synctest.Wait()
		c.store.Restore(backup)
		time.Sleep(5 * time.Second)
		c.wantEverywhere(t, version)
		if got := c.storedVersion(ticker); got != version {
			t.Errorf("the store holds %v, want %v", got, version)
		}
	})
}

// TestForkIsResolvedTheSameWayAtEveryNode announces three changes with the same revision at
// different nodes. All nodes must end with the one that has the highest change id.
func TestForkIsResolvedTheSameWayAtEveryNode(t *testing.T) {
	runInCluster(t, 6, 2, nil, func(t *testing.T, c *cluster) {
		mustPublish(t, c.nodes[0], "first")
		time.Sleep(spreadTime)
		var forks []template.Published
		for _, changeID := range []string{"b", "a", "c"} {
			document := content(ticker, changeID)
			document.Revision, document.ChangeID = 2, changeID
			sealed, err := template.Seal(document)
			if err != nil {
				t.Fatal(err)
			}
			forks = append(forks, sealed)
		}
		for index, node := range c.nodes {
			node.replica.Announce(forks[index%len(forks)])
		}
		time.Sleep(12 * time.Second)
		c.wantEverywhere(t, forks[2].Version())
		if forks := c.nodes[0].replica.Stats().Forks; forks == 0 {
			t.Error("no fork was counted")
		}
	})
}

// TestFewWatchersKeepToTheStoresLimit checks, with the largest number of prefixes, that each prefix
// has WatchersPerZone watchers in each zone, that the watches are spread over the nodes, and that
// all watchers together stay within StoreCallsPerSecond, also while every call fails.
func TestFewWatchersKeepToTheStoresLimit(t *testing.T) {
	const callsPerSecond = 20
	tune := func(o *Options) { o.StoreCallsPerSecond, o.MaxBytesPerWatch = callsPerSecond, 1 }
	runInCluster(t, 30, 3, tune, func(t *testing.T, c *cluster) {
		mustPublish(t, c.nodes[0], "first")
		const settled, seconds = 2 * time.Minute, 120
		time.Sleep(settled)
		watches, maxWatched := 0, 0
		for _, node := range c.nodes {
			watched := len(node.replica.Status().Store.WatchedPrefixes)
			watches, maxWatched = watches+watched, max(maxWatched, watched)
		}
		if want := 3 * 256 * DefaultWatchersPerZone; watches != want || maxWatched > 2*want/len(c.nodes) {
			t.Errorf("%d watches in total, want %d; the most at one node is %d", watches, want, maxWatched)
		}
		for _, away := range []bool{false, true} {
			c.store.SetUnavailable(away)
			before := c.store.Counts().Reads
			time.Sleep(seconds * time.Second)
			if rate := float64(c.store.Counts().Reads-before) / seconds; rate > callsPerSecond {
				t.Errorf("store unavailable %v: %.1f calls per second", away, rate)
			}
		}
	})
}
