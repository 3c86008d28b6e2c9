package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// correctionBound is the maximum time from a refusal to a correct view at the refused node,
	// with probes that take no time.
	correctionBound = 10 * time.Millisecond
	// refusalInterval is the time between two refusals by a server.
	refusalInterval = 10 * time.Millisecond
)

func refusal(server target.ServerID, reason outcome.Reason) error {
	return &outcome.Error{Step: "test", Peer: string(server), Reason: reason, Outcome: outcome.NotRun}
}

func versionOf(c *Catalog, server target.ServerID) target.Version {
	return serverOf(c.View(testService), server).Indexes[0].Version
}

// timeUntilVersion returns how long it takes until a catalog knows the version of a server while it
// is refused at intervals.
func timeUntilVersion(c *Catalog, server target.ServerID, version target.Version, reason outcome.Reason) time.Duration {
	started := time.Now()
	for versionOf(c, server) != version {
		c.ReportResult(server, refusal(server, reason))
		synctest.Wait()
		if versionOf(c, server) != version {
			time.Sleep(refusalInterval)
		}
	}
	return time.Since(started)
}

// TestRefusalsCorrectTheView guards against views that stay wrong until the next regular probe:
// servers change at any moment between two probes, and the first refusal must lead to a correct
// view, at regular probers of the server and at other nodes.
func TestRefusalsCorrectTheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, servers = 30, 100
		z := startZone(t, nodes, servers, relayBound)
		defer z.shutdown()
		time.Sleep(10 * time.Second)
		var slowest, sum time.Duration
		for number := range servers {
			server, reason := serverID(number), outcome.ReasonVersionGone
			if number%2 == 0 {
				reason = outcome.ReasonRangeNotHeld
			}
			z.backends.withLock(func() { z.backends.versions[server] = 2 })
			took := timeUntilVersion(z.catalogs[number%nodes], server, 2, reason)
			slowest, sum = max(slowest, took), sum+took
			time.Sleep(37 * time.Millisecond)
		}
		t.Logf("correct view %s after the first refusal on average, %s at most", sum/servers, slowest)
		if slowest > correctionBound {
			t.Errorf("correct view only after %s", slowest)
		}
		time.Sleep(2 * relayBound)
		for _, c := range z.catalogs {
			if version := versionOf(c, serverID(0)); version != 2 {
				t.Errorf("%s did not receive the update: version %d", c.options.Node, version)
			}
		}
	})
}

// TestRefusalsWithoutChangeCostFewProbes guards against a flood of probes: a server refuses for 20
// s although its contents are unchanged.
func TestRefusalsWithoutChangeCostFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startZone(t, 1, 1, relayBound)
		defer z.shutdown()
		time.Sleep(5 * time.Second)
		const period = 20 * time.Second
		before, started := z.backends.probeCount(), time.Now()
		for time.Since(started) < period {
			z.catalogs[0].ReportResult(serverID(0), refusal(serverID(0), outcome.ReasonRangeNotHeld))
			time.Sleep(refusalInterval)
		}
		perSecond := float64(z.backends.probeCount()-before) / period.Seconds()
		t.Logf("%.2f probes per second under refusals without a change", perSecond)
		const bound = 2.5
		if perSecond > bound {
			t.Errorf("%.2f probes per second", perSecond)
		}
	})
}

// TestFewNodesAnnounceStaleContents guards against duplicate announcements: a changed server
// refuses every node of a zone at the same time.
func TestFewNodesAnnounceStaleContents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, servers = 30, 20
		z := startZone(t, nodes, servers, relayBound)
		defer z.shutdown()
		time.Sleep(10 * time.Second)
		z.mutex.Lock()
		before := z.updatesSent
		z.mutex.Unlock()
		for number := range servers {
			server := serverID(number)
			z.backends.withLock(func() { z.backends.versions[server] = 2 })
			for _, c := range z.catalogs {
				c.ReportResult(server, refusal(server, outcome.ReasonRangeNotHeld))
			}
			synctest.Wait()
			for _, c := range z.catalogs {
				if versionOf(c, server) != 2 {
					t.Fatalf("%s has a stale view of %s", c.options.Node, server)
				}
			}
			time.Sleep(2 * relayBound)
		}
		z.mutex.Lock()
		defer z.mutex.Unlock()
		each := float64(z.updatesSent-before) / servers
		t.Logf("%.1f of %d nodes announced a change that all found", each, nodes)
		if each > staleAnnouncers {
			t.Errorf("%.1f nodes announced each change", each)
		}
	})
}
