package membership

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// joinBound is the virtual time within which nodes that start together must agree.
	joinBound = 20 * time.Second
	// detectBound is the virtual time within which a dead node must be removed everywhere in the
	// small zones of these tests.
	detectBound = 20 * time.Second
	// healBound is the virtual time within which lists must agree after the last fault has ended.
	healBound = 45 * time.Second
)

// inCluster runs body with a cluster in virtual time.
func inCluster(t *testing.T, body func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stop()
		body(t, c)
	})
}

func TestKilledNodeIsRemovedEverywhere(t *testing.T) {
	for _, size := range []int{2, 3, 30} {
		inCluster(t, func(t *testing.T, c *cluster) {
			c.startZone("oslo", size)
			t.Logf("%d nodes agree after %v", size, c.settle(joinBound))
			c.kill(addressOf("oslo", size-1))
			t.Logf("a killed node is removed everywhere after %v", c.settle(detectBound))
		})
	}
}

func TestReplacedProcessIsKnownByItsNewIDOnly(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startZone("oslo", 10)
		c.settle(joinBound)
		c.kill(addressOf("oslo", 4))
		c.start("oslo", 4)
		c.settle(detectBound)
	})
}

func TestFrozenNodeThatResumesChangesNobodyElse(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 30 * time.Second, 10 * time.Minute} {
		inCluster(t, func(t *testing.T, c *cluster) {
			c.startZone("oslo", 20)
			c.settle(joinBound)
			frozen := addressOf("oslo", 7)
			killed := addressOf("oslo", 8)
			c.freeze(frozen)
			time.Sleep(time.Second)
			c.kill(killed)
			time.Sleep(pause)
			before := c.total(func(s Stats) uint64 { return s.Refutations })
			c.thaw(frozen)
			took := c.settle(healBound)
			time.Sleep(time.Minute)
			if text := c.disagreement(); text != "" {
				t.Error(text)
			}
			own := c.nodes[frozen].Stats()
			others := c.total(func(s Stats) uint64 { return s.Refutations }) - before - own.Refutations
			if others > 0 {
				t.Errorf("after a pause of %v: other nodes had to refute %d times, want 0", pause, others)
			}
			if own.Pauses == 0 {
				t.Error("the pause was not detected")
			}
			t.Logf("after a pause of %v, lists agree after %v", pause, took)
		})
	}
}

func TestAllFrozenTogetherGoOn(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startZone("oslo", 10)
		c.settle(joinBound)
		for _, address := range c.addresses() {
			c.freeze(address)
		}
		time.Sleep(time.Minute)
		for _, address := range c.addresses() {
			c.thaw(address)
		}
		time.Sleep(30 * time.Second)
		c.settle(healBound)
		if count := c.total(removed); count > 0 {
			t.Errorf("%d members were removed", count)
		}
	})
}

func TestHalvesRejoinAfterACut(t *testing.T) {
	for _, cut := range []time.Duration{40 * time.Second, 30 * time.Minute} {
		inCluster(t, func(t *testing.T, c *cluster) {
			c.startZone("oslo", 20)
			c.settle(joinBound)
			all := c.addresses()
			c.network.Cut(all[:10], all[10:])
			time.Sleep(cut)
			if held := len(idsIn(c.nodes[all[0]], "oslo", Alive)); held != 10 {
				t.Errorf("during the cut a node holds %d members, want 10", held)
			}
			c.network.Heal()
			for range 1000 {
				time.Sleep(20 * time.Millisecond)
				checkNoDead(t, c, all[:10])
				checkNoDead(t, c, all[10:])
			}
			c.settle(healBound)
		})
	}
}

// checkNoDead checks that nodes that were never cut off from each other do not hold each other as
// dead because the other side of the cut reports it.
func checkNoDead(t *testing.T, c *cluster, half []peer.Address) {
	t.Helper()
	for _, address := range half {
		dead := idsIn(c.nodes[address], "oslo", Dead)
		for _, other := range half {
			if slices.Contains(dead, c.nodes[other].options.Self.ID) {
				t.Fatalf("%s holds %s of its own side as dead", address, other)
			}
		}
	}
}

// TestHalvesRejoinWithoutSeeds cuts a zone in two while there are no seeds, as when the machine
// list is unavailable. The halves can then find each other only through the addresses of members
// that they hold as dead.
func TestHalvesRejoinWithoutSeeds(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startZone("oslo", 12)
		c.settle(joinBound)
		c.seeds.Store(&[]Seed{})
		all := c.addresses()
		c.network.Cut(all[:6], all[6:])
		time.Sleep(10 * time.Minute)
		c.network.Heal()
		c.settle(healBound)
	})
}

// TestFrozenNodeDoesNotBringBackForgottenMembers freezes a node, then starts and kills a member and
// waits until the other nodes have forgotten it. Messages that waited for the frozen node still
// list that member as alive; they must not bring it back.
func TestFrozenNodeDoesNotBringBackForgottenMembers(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.timing.DeadRetention = time.Minute
		c.startZone("oslo", 10)
		c.settle(joinBound)
		frozen := addressOf("oslo", 7)
		c.freeze(frozen)
		shortLived := c.start("oslo", 20).options.Self.ID
		time.Sleep(time.Minute)
		c.kill(addressOf("oslo", 20))
		time.Sleep(3 * time.Minute)
		c.thaw(frozen)
		for range 1000 {
			time.Sleep(20 * time.Millisecond)
			for _, node := range c.nodes {
				if node.address != frozen && c.holds(node, shortLived) {
					t.Fatalf("%s lists a member again that it had forgotten", node.address)
				}
			}
		}
	})
}

// TestLastCheckBeforeRemoval lets the time to refute expire at a node that received no refutation,
// as when the refutation was lost. The node must probe the member once more before it removes it,
// and so keep it.
func TestLastCheckBeforeRemoval(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startZone("oslo", 5)
		c.settle(joinBound)
		node, suspected := c.nodes[addressOf("oslo", 0)], c.nodes[addressOf("oslo", 1)]
		node.mutex.Lock()
		held := node.table.records[suspected.options.Self.ID]
		node.table.suspect(held, held.member.Incarnation, "accuser", time.Now().Add(-time.Hour))
		node.unlock()
		time.Sleep(5 * time.Second)
		if count := c.total(removed); count > 0 {
			t.Errorf("%d members were removed", count)
		}
		c.settle(detectBound)
	})
}

func TestOneWayCutRemovesNobodyThatOthersReach(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startZone("oslo", 12)
		c.settle(joinBound)
		all := c.addresses()
		c.network.CutOneWay(all[:1], all[1:2])
		time.Sleep(3 * time.Minute)
		if count := c.total(func(s Stats) uint64 { return s.Suspicions }); count > 0 {
			t.Errorf("%d members were suspected although other nodes reach them, want 0", count)
		}
		c.network.Heal()
		c.settle(healBound)
	})
}

func TestLossRemovesNobody(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startZone("oslo", 30)
		c.settle(joinBound)
		c.network.SetLoss(0.05)
		time.Sleep(10 * time.Minute)
		probes := c.total(func(s Stats) uint64 { return s.Probes })
		suspicions := c.total(func(s Stats) uint64 { return s.Suspicions })
		t.Logf("5%% loss, 10 minutes: %d probes, %d suspicions, %d removals", probes, suspicions, c.total(removed))
		if count := c.total(removed); count > 0 {
			t.Errorf("%d members were removed", count)
		}
	})
}

// TestLeavingNodeIsSeenAndThenGone guards against members to which no node sends the announcement of
// a planned stop.
func TestLeavingNodeIsSeenAndThenGone(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startZone("oslo", 30)
		c.settle(joinBound)
		node := c.nodes[addressOf("oslo", 3)]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		c.trace.start()
		if err := node.Leave(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for _, other := range c.nodes {
			if other != node && !slices.Equal(idsIn(other, "oslo", Leaving), []target.NodeID{node.options.Self.ID}) {
				t.Errorf("%s does not hold the node as leaving", other.address)
				t.Log(c.trace.describe(itemName(entryOf(node.table.self)), other.address))
			}
		}
		node.cancel()
		<-node.done
		c.kill(node.address)
		if took := c.settle(5 * time.Second); took > 3*time.Second {
			t.Errorf("lists agree only %v after a node left, want at most 3 s", took)
		}
		if count := c.total(func(s Stats) uint64 { return s.Suspicions }); count > 0 {
			t.Errorf("a planned stop caused %d suspicions, want 0", count)
		}
	})
}

func TestZonesKnowSomeOfEachOther(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		zones := []string{"oslo", "bergen", "trondheim"}
		for _, zone := range zones {
			c.startZone(zone, 8)
		}
		c.settle(joinBound)
		var bergen []peer.Address
		for number := range 8 {
			bergen = append(bergen, addressOf("bergen", number))
		}
		rest := slices.DeleteFunc(c.addresses(), func(address peer.Address) bool { return slices.Contains(bergen, address) })
		c.network.Cut(bergen, rest)
		time.Sleep(2 * time.Minute)
		for _, address := range rest {
			if held := idsIn(c.nodes[address], "bergen", Alive); len(held) > 0 {
				t.Errorf("%s still holds %v of the cut zone as alive", address, held)
			}
		}
		c.kill(bergen[0])
		c.kill(bergen[1])
		c.start("bergen", 9)
		c.network.Heal()
		t.Logf("zones agree after %v", c.settle(healBound))
	})
}

func TestBroadcastReachesEachNodeOnce(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		got := make(chan target.NodeID, 1000)
		c.startZone("oslo", 30)
		for _, node := range c.nodes {
			node.HandleBroadcast("test", func(target.NodeID, []byte) { got <- node.options.Self.ID })
		}
		c.settle(joinBound)
		time.Sleep(30 * time.Second)
		if err := c.nodes[addressOf("oslo", 0)].Broadcast("test", []byte("news")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if len(got) != 29 {
			t.Errorf("%d nodes received the message within 2 s, want 29", len(got))
		}
		time.Sleep(time.Minute)
		c.network.SetLoss(0.4)
		if err := c.nodes[addressOf("oslo", 1)].Broadcast("test", []byte("more news")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		c.network.SetLoss(0)
		time.Sleep(20 * time.Second)
		if len(got) != 2*29 {
			t.Errorf("after loss %d messages were delivered in total, want %d", len(got), 2*29)
		}
		for range 29 {
			<-got
		}
		if len(got) != 29 {
			t.Errorf("the second message was delivered %d times, want 29", len(got))
		}
		if err := c.nodes[addressOf("oslo", 0)].Broadcast("test", make([]byte, MaxBroadcastBytes+1)); err == nil {
			t.Error("an oversized message was accepted")
		}
	})
}
