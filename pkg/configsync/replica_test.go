package configsync

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	pb "github.com/bramblemast/bramblemast/pkg/configsync/configsyncpb"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startTime is the virtual time within which every node becomes ready.
const startTime = 5 * time.Second

// spreadTime is the virtual time within which the trees reach every node.
const spreadTime = 200 * time.Millisecond

// runInCluster runs a test in virtual time with a cluster of nodes that are ready.
func runInCluster(t *testing.T, size, zones int, tune func(*Options), body func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(size, zones, tune)
		defer c.close()
		time.Sleep(startTime)
		for _, node := range c.nodes {
			if !node.replica.Ready() {
				t.Errorf("%s is not ready", node.ID)
			}
		}
		body(t, c)
	})
}

func TestChangeReachesEveryNode(t *testing.T) {
	runInCluster(t, 30, 3, nil, func(t *testing.T, c *cluster) {
		version := mustPublish(t, c.nodes[7], "first")
		time.Sleep(spreadTime)
		c.wantEverywhere(t, version)
		compiled, isKnown := c.nodes[3].replica.Get(ticker)
		if !isKnown || compiled.Template.Author != "first" || len(c.nodes[3].replica.List()) != 1 {
			t.Fatalf("got template %v, want the one by author first and no other", compiled)
		}

		if _, err := c.nodes[0].publisher.Delete(t.Context(), ticker, 1, "operator", ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(spreadTime)
		for _, node := range c.nodes {
			if _, isKnown := node.replica.Get(ticker); isKnown || node.version(ticker).Revision != 2 {
				t.Errorf("%s holds %v after the deletion", node.ID, node.version(ticker))
			}
		}
	})
}

// TestChangeSpreadsPastDeadAndFrozenMembers checks that the tree alone reaches every live member
// although many others are still listed but closed or frozen, and that the frozen ones have the
// change soon after they resume.
func TestChangeSpreadsPastDeadAndFrozenMembers(t *testing.T) {
	treesOnly := func(o *Options) { o.ExchangePeriod = 24 * time.Hour }
	runInCluster(t, 40, 1, treesOnly, func(t *testing.T, c *cluster) {
		frozen, dead, alive := c.nodes[1:8], c.nodes[8:11], c.nodes[11:]
		for _, node := range frozen {
			c.network.Freeze(node.Address)
		}
		for _, node := range dead {
			node.transport.Close()
		}
		version := mustPublish(t, c.nodes[0], "first")
		time.Sleep(12 * time.Second)
		for _, node := range alive {
			if node.version(ticker) != version {
				t.Errorf("%s holds %v, not the published version", node.ID, node.version(ticker))
			}
		}
		for _, node := range frozen {
			c.network.Thaw(node.Address)
		}
		time.Sleep(time.Second)
		for _, node := range frozen {
			if node.version(ticker) != version {
				t.Errorf("%s holds %v after it resumed, not the published version", node.ID, node.version(ticker))
			}
		}
	})
}

// TestChangeReachesTheRestOfAPartWhoseHeadsAreFrozen freezes the first maxHeadsTried members of one
// part of the tree. Unless the rest of the part is split again after these have failed, its members
// never receive the document.
func TestChangeReachesTheRestOfAPartWhoseHeadsAreFrozen(t *testing.T) {
	treesOnly := func(o *Options) { o.ExchangePeriod = 24 * time.Hour }
	runInCluster(t, 40, 1, treesOnly, func(t *testing.T, c *cluster) {
		document := content(ticker, "first")
		document.Revision, document.ChangeID = 1, "change"
		published, err := template.Seal(document)
		if err != nil {
			t.Fatal(err)
		}
		order := c.nodes[0].replica.zoneOrder(fingerprint(published))
		frozen := map[target.NodeID]bool{}
		for _, head := range split(order[1:], DefaultFanout, math.MaxUint64)[1].heads[:maxHeadsTried] {
			c.network.Freeze(head.Address)
			frozen[head.ID] = true
		}
		for _, node := range c.nodes {
			if node.ID == order[0].ID {
				node.replica.Announce(published)
			}
		}
		time.Sleep((maxHeadsTried + 1) * DefaultPushTimeout)
		for _, node := range c.nodes {
			if !frozen[node.ID] && node.version(ticker) != published.Version() {
				t.Errorf("%s holds %v, not the published version", node.ID, node.version(ticker))
			}
			c.network.Thaw(node.Address)
		}
	})
}

// TestChangeSpreadsWhereEveryRootIsFrozen checks that a change still spreads if the members that
// come first in its order don't answer: the node that has the change then acts as the root itself.
func TestChangeSpreadsWhereEveryRootIsFrozen(t *testing.T) {
	treesOnly := func(o *Options) { o.ExchangePeriod = 24 * time.Hour }
	runInCluster(t, 5, 1, treesOnly, func(t *testing.T, c *cluster) {
		for _, node := range c.nodes[2:] {
			c.network.Freeze(node.Address)
		}
		c.nodes[1].store.isCut.Store(true)
		const changes = 8 // the order of the members differs for each
		for range changes {
			version := mustPublish(t, c.nodes[0], "author")
			time.Sleep(5 * time.Second)
			if got := c.nodes[1].version(ticker); got != version {
				t.Errorf("holds %v, want %v", got, version)
			}
		}
		for _, node := range c.nodes[2:] {
			c.network.Thaw(node.Address)
		}
	})
}

// TestZoneThatWasCutOffCatchesUp checks that the comparisons alone bring a zone up to date that was
// cut off from the others and from the store.
func TestZoneThatWasCutOffCatchesUp(t *testing.T) {
	runInCluster(t, 12, 3, nil, func(t *testing.T, c *cluster) {
		var cut, rest []*testNode
		for index, node := range c.nodes {
			if index%3 == 0 {
				cut = append(cut, node)
				node.store.isCut.Store(true)
			} else {
				rest = append(rest, node)
			}
		}
		c.network.Cut(c.addresses(cut...), c.addresses(rest...))
		version := mustPublish(t, rest[0], "first")
		time.Sleep(time.Minute)
		if got := cut[0].version(ticker); got != (template.Version{}) {
			t.Fatalf("a node that is cut off holds %v, want nothing", got)
		}
		c.network.Heal() // the store stays out of reach: only the comparisons are left
		time.Sleep(30 * time.Second)
		c.wantEverywhere(t, version)
	})
}

// TestDocumentOfANewerReleaseIsPassedOnAndNotRun checks that a document which this release can't
// compile is passed on unchanged, while the earlier document stays in force and the status gives
// the reason.
func TestDocumentOfANewerReleaseIsPassedOnAndNotRun(t *testing.T) {
	runInCluster(t, 6, 2, nil, func(t *testing.T, c *cluster) {
		mustPublish(t, c.nodes[0], "first")
		time.Sleep(spreadTime)
		encoded := []byte(`{"tenant":"valgsok","name":"ticker","revision":2,"change_id":"x","service":"s",` +
			`"class":"urgent","deadline":"1s","novelty":{"a":1}}`)
		published, err := template.ReadPublished(encoded)
		if err != nil {
			t.Fatal(err)
		}
		c.nodes[0].replica.Announce(published)
		time.Sleep(spreadTime)
		for _, node := range c.nodes {
			held, _ := node.replica.Held(ticker)
			compiled, _ := node.replica.Get(ticker)
			status := node.replica.Status().Templates[0]
			if string(held.Encoded) != string(encoded) || compiled.Template.Author != "first" || status.Invalid == "" || status.InForce {
				t.Errorf("%s holds %s, has %v in force, reports %+v", node.ID, held.Encoded, compiled.Template, status)
			}
		}
	})
}

func TestSurveyReportsNodesThatDidNotAnswer(t *testing.T) {
	runInCluster(t, 6, 2, nil, func(t *testing.T, c *cluster) {
		version := mustPublish(t, c.nodes[0], "first")
		time.Sleep(spreadTime)
		c.network.Freeze(c.nodes[4].Address)
		defer c.network.Thaw(c.nodes[4].Address)
		reports := c.nodes[1].replica.Survey(t.Context(), ticker)
		if len(reports) != len(c.nodes) {
			t.Fatalf("got %d reports, want one for each node", len(reports))
		}
		for _, report := range reports {
			isFrozen := report.Node == c.nodes[4].ID
			if (report.Err != nil) != isFrozen || (!isFrozen && (report.Version != version || !report.InForce || !report.Ready)) {
				t.Errorf("unexpected report %+v", report)
			}
		}
	})
}

// TestLargeStateIsFetchedInBoundedReplies checks that a state larger than maxReplyBytes is
// transferred in several bounded replies.
func TestLargeStateIsFetchedInBoundedReplies(t *testing.T) {
	const templates = 600
	runInCluster(t, 2, 1, nil, func(t *testing.T, c *cluster) {
		for number := range templates {
			document := content(template.Key{Tenant: "tenant", Name: fmt.Sprint("name", number)}, "author")
			document.Comment = string(make([]byte, 0, 1000))
			document.Revision, document.ChangeID = 1, "change"
			for len(document.Comment) < 1000 {
				document.Comment += "comment "
			}
			sealed, err := template.Seal(document)
			if err != nil {
				t.Fatal(err)
			}
			c.nodes[0].replica.apply(sealed, SourceLocal)
		}
		everything := &pb.ReconcileRequest{}
		for shard := range uint32(stored.ShardCount) {
			everything.Shards = append(everything.Shards, &pb.ShardListing{Shard: shard})
		}
		if reply := c.nodes[0].replica.handleReconcile(everything); reply.SizeVT() > 2*maxReplyBytes || !reply.More {
			t.Errorf("reply of %d bytes with More %v, want a bounded reply with More set", reply.SizeVT(), reply.More)
		}
		if _, err := c.nodes[1].replica.exchange(t.Context(), c.nodes[0].Peer, SourceExchange); err != nil {
			t.Fatal(err)
		}
		if got := len(c.nodes[1].replica.List()); got != templates {
			t.Fatalf("fetched %d templates, want all", got)
		}
	})
}

func TestSubscribersAreNotifiedOfChanges(t *testing.T) {
	runInCluster(t, 3, 1, nil, func(t *testing.T, c *cluster) {
		changes, stop := c.nodes[2].replica.Subscribe()
		defer stop()
		mustPublish(t, c.nodes[0], "first")
		<-changes
	})
}

func TestOptionsAreChecked(t *testing.T) {
	if _, err := New(Options{}); err == nil {
		t.Error("New accepted options without required fields")
	}
}
