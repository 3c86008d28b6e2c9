package rendezvous

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// zoneParts makes parts with replicas in one zone.
func zoneParts(parts, replicas, connections int) []Part {
	list := make([]Part, 0, parts)
	for number := range parts {
		part := Part{Key: fmt.Sprintf("service/part%d", number)}
		for replica := range replicas {
			server := target.ServerID(fmt.Sprintf("10.%d.%d.1:80", number, replica))
			part.Replicas = append(part.Replicas, Replica{Server: server, Connections: connections})
		}
		list = append(list, part)
	}
	return list
}

func nodeIDs(count int) []target.NodeID {
	list := make([]target.NodeID, 0, count)
	for number := range count {
		list = append(list, target.NodeID(fmt.Sprintf("node%d", number)))
	}
	return list
}

// TestSubsetRules checks the promises of ChooseSubset on small random cases.
func TestSubsetRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := nodeIDs(rapid.IntRange(1, 30).Draw(t, "nodes"))
		connections := rapid.IntRange(8, 40).Draw(t, "connections")
		parts := zoneParts(rapid.IntRange(1, 4).Draw(t, "parts"), rapid.IntRange(1, 12).Draw(t, "replicas"), connections)
		for part := range parts {
			for replica := range parts[part].Replicas {
				parts[part].Replicas[replica].Distance = rapid.IntRange(0, 2).Draw(t, "distance")
			}
		}
		users := map[target.ServerID]int{}
		sharing := map[target.ServerID]int{}
		for _, node := range nodes {
			subset := ChooseSubset(node, nodes, parts, SubsetOptions{})
			for _, server := range subset.Servers {
				users[server]++
				sharing[server] = subset.Sharing[server]
			}
			for _, part := range parts {
				checkPart(t, part, subset)
			}
		}
		for server, count := range users {
			if sharing[server] != count {
				t.Fatalf("%s: sharing says %d of %d nodes", server, sharing[server], count)
			}
		}
	})
}

// checkPart fails unless the part has two chosen replicas, or all it has, and
// no farther one is chosen while a nearer one would do.
func checkPart(t *rapid.T, part Part, subset Subset) {
	chosen := map[int]int{}
	held := map[int]int{}
	for _, replica := range part.Replicas {
		held[replica.Distance]++
		if subset.Sharing[replica.Server] > 0 {
			chosen[replica.Distance]++
		}
	}
	total := chosen[0] + chosen[1] + chosen[2]
	if total < min(DefaultMinReplicas, len(part.Replicas)) {
		t.Fatalf("%s has %d replicas", part.Key, total)
	}
	if held[0] >= DefaultMinReplicas && chosen[1]+chosen[2] > 0 {
		t.Fatalf("%s has a far replica: chosen %v of %v", part.Key, chosen, held)
	}
}

func TestSmallInstallationGetsAll(t *testing.T) {
	parts := zoneParts(6, 4, 75)
	for _, node := range nodeIDs(9) {
		if subset := ChooseSubset(node, nodeIDs(9), parts, SubsetOptions{}); len(subset.Servers) != 24 {
			t.Fatalf("%s has %d servers of 24", node, len(subset.Servers))
		}
	}
}

// The zone of the size to design for: 318 nodes and 5,280 servers, which hold
// 220 parts.
const (
	zoneNodes       = 318
	zonePartCount   = 220
	zoneReplicas    = 24
	zoneConnections = 75
)

// choices maps each node to the servers that it chose.
type choices map[target.NodeID]map[target.ServerID]bool

// chooseAll computes the choices of all nodes at once, as ChooseSubset does for
// one of them.
func chooseAll(nodes []target.NodeID, parts []Part) choices {
	all := make(choices)
	candidates := NewSet(nodes).candidates
	budget := DefaultNodeConnections / len(parts)
	for _, part := range parts {
		count := tierCount(part.Replicas, len(nodes), budget, DefaultMinReplicas)
		assign(part.Key, candidates, part.Replicas, count, func(node target.NodeID, server target.ServerID) {
			if all[node] == nil {
				all[node] = make(map[target.ServerID]bool)
			}
			all[node][server] = true
		})
	}
	return all
}

// TestZoneIsEven measures how evenly servers are shared at that size.
func TestZoneIsEven(t *testing.T) {
	nodes := nodeIDs(zoneNodes)
	parts := zoneParts(zonePartCount, zoneReplicas, zoneConnections)
	users := map[target.ServerID]int{}
	total := 0
	for _, servers := range chooseAll(nodes, parts) {
		for server := range servers {
			users[server]++
			total++
		}
	}
	subset := ChooseSubset(nodes[0], nodes, parts, SubsetOptions{})
	for _, server := range subset.Servers {
		if subset.Sharing[server] != users[server] {
			t.Fatalf("%s: sharing says %d of %d nodes", server, subset.Sharing[server], users[server])
		}
	}
	greatest, least := 0, zoneNodes
	for _, count := range users {
		greatest, least = max(greatest, count), min(least, count)
	}
	mean := float64(total) / (zonePartCount * zoneReplicas)
	t.Logf("servers for each node %.0f, nodes for each server: mean %.1f, least %d, greatest %d, greatest/mean %.3f",
		float64(total)/zoneNodes, mean, least, greatest, float64(greatest)/mean)
	if greatest > zoneConnections || float64(greatest)/mean > 1+fanInSlack+0.02 {
		t.Errorf("a server has %d nodes at a mean of %.1f", greatest, mean)
	}
}

// TestReplacedNodeMovesLittle replaces one node and counts, over the other
// nodes, the servers that each has to connect to anew.
func TestReplacedNodeMovesLittle(t *testing.T) {
	nodes := nodeIDs(zoneNodes)
	parts := zoneParts(zonePartCount, zoneReplicas, zoneConnections)
	replaced := append(append([]target.NodeID(nil), nodes[1:]...), "newcomer")
	before, after := chooseAll(nodes, parts), chooseAll(replaced, parts)
	moved, total := 0, 0
	for _, node := range nodes[1:] {
		for server := range after[node] {
			total++
			if !before[node][server] {
				moved++
			}
		}
	}
	share := float64(moved) / float64(total)
	t.Logf("moved %d of %d connections of the other nodes: %.4f", moved, total, share)
	const allowed = 0.03
	if share > allowed {
		t.Errorf("moved share %.4f", share)
	}
}

func TestShareOf(t *testing.T) {
	for _, test := range []struct {
		slots, connections, nodes int
		want                      Share
	}{
		{5, 75, 1, Share{Connections: 71, Slots: 5}},
		{5, 75, 3, Share{Connections: 23, Slots: 2}},
		{5, 75, 66, Share{Connections: 1, Slots: 1}},
		{0, 0, 0, Share{Connections: 1, Slots: 1}},
	} {
		if got := ShareOf(test.slots, test.connections, test.nodes); got != test.want {
			t.Errorf("ShareOf(%d, %d, %d) = %+v, want %+v", test.slots, test.connections, test.nodes, got, test.want)
		}
	}
}

func BenchmarkChooseSubsetZone(b *testing.B) {
	nodes := nodeIDs(zoneNodes)
	parts := zoneParts(zonePartCount, zoneReplicas, zoneConnections)
	b.ReportAllocs()
	for b.Loop() {
		ChooseSubset(nodes[0], nodes, parts, SubsetOptions{})
	}
}

func BenchmarkInTop(b *testing.B) {
	set := NewSet(nodeIDs(zoneNodes))
	for b.Loop() {
		set.InTop("10.0.0.1:80", "node7", 2)
	}
}
