package owner_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/owner"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// servers implements owner.Servers with the zones of each service.
type servers struct {
	places     map[string][]string
	generation uint64
}

func (s *servers) Generation() uint64                   { return s.generation }
func (s *servers) ServingZones(service string) []string { return s.places[service] }
func (s *servers) HasScarceConnections(string) bool     { return true }
func (s *servers) HasServersFor([]string) bool          { return true }

// regions maps each zone to its region; each region has two zones.
var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

// deployment returns services with a server in one zone of each region, and nodes in all zones.
func deployment(services, nodesPerZone int) ([]string, *servers, []directory.Node) {
	var names []string
	known := &servers{places: make(map[string][]string)}
	for number := range services {
		name := fmt.Sprint("service", number)
		names = append(names, name)
		known.places[name] = []string{[]string{"a1", "a2"}[number%2], []string{"b1", "b2"}[number/2%2]}
	}
	var nodes []directory.Node
	for zone := range regions {
		for number := range nodesPerZone {
			name := fmt.Sprint(zone, "-", number)
			nodes = append(nodes, directory.Node{Name: name, Zone: zone, PeerAddress: name})
		}
	}
	return names, known, nodes
}

func rosterOf(local directory.Node, known *servers, nodes []directory.Node) *owner.Roster {
	roster := owner.NewRoster(local, regions, known)
	roster.SetNodes(nodes)
	return roster
}

// ownersOf returns the name of each service's owner as the local node sees it.
func ownersOf(local directory.Node, roster *owner.Roster, services []string) map[string]string {
	owners := make(map[string]string)
	for _, group := range roster.Divide(services, route.Regions{}) {
		name := group.Owner
		if name == "" {
			name = local.Name
		}
		for _, index := range group.Indexes {
			owners[services[index]] = name
		}
	}
	return owners
}

// TestNodesOfARegionAgreeOnOwners: the nodes of a region choose the same owners without exchanging
// messages, and owners are in a zone of the service's servers.
func TestNodesOfARegionAgreeOnOwners(t *testing.T) {
	g := NewWithT(t)
	services, known, nodes := deployment(90, 20)
	zoneOf := make(map[string]string)
	for _, node := range nodes {
		zoneOf[node.Name] = node.Zone
	}
	byRegion := make(map[string]map[string]string)
	for _, node := range nodes {
		owners := ownersOf(node, rosterOf(node, known, nodes), services)
		g.Expect(owners).To(HaveLen(len(services)))
		region := regions[node.Zone]
		if byRegion[region] == nil {
			byRegion[region] = owners
		}
		g.Expect(owners).To(Equal(byRegion[region]), node.Name)
		for service, name := range owners {
			g.Expect(known.places[service]).To(ContainElement(zoneOf[name]))
			g.Expect(regions[zoneOf[name]]).To(Equal(region))
		}
	}
}

// TestARequestAsksFewOwners: a request asks about as many owners as an owner asks servers.
func TestARequestAsksFewOwners(t *testing.T) {
	g := NewWithT(t)
	for services, maxGroups := range map[int]int{1: 1, 4: 3, 35: 7, 90: 11, 135: 13, 220: 16} {
		names, known, nodes := deployment(services, 20)
		groups := rosterOf(nodes[0], known, nodes).Divide(names, route.Regions{})
		g.Expect(len(groups)).To(BeNumerically("<=", maxGroups), "%d services", services)
	}
}

// TestALostNodeMovesOnlyWhatItOwned: services of other owners stay where they are.
func TestALostNodeMovesOnlyWhatItOwned(t *testing.T) {
	g := NewWithT(t)
	services, known, nodes := deployment(90, 20)
	local := nodes[0]
	roster := rosterOf(local, known, nodes)
	before := ownersOf(local, roster, services)
	lost := before[services[7]]
	var remaining []directory.Node
	for _, node := range nodes {
		if node.Name != lost {
			remaining = append(remaining, node)
		}
	}
	roster.SetNodes(remaining)
	for service, name := range ownersOf(local, roster, services) {
		if before[service] == lost {
			g.Expect(name).NotTo(Equal(lost))
		} else {
			g.Expect(name).To(Equal(before[service]))
		}
	}
}

// TestOwnersFollowTheServers: owners change when the list of servers changes.
func TestOwnersFollowTheServers(t *testing.T) {
	g := NewWithT(t)
	services, known, nodes := deployment(9, 5)
	local := nodes[0]
	roster := rosterOf(local, known, nodes)
	ownersOf(local, roster, services)
	for _, service := range services {
		known.places[service] = nil
	}
	known.generation++
	for _, name := range ownersOf(local, roster, services) {
		g.Expect(name).To(HavePrefix(local.Zone), "without servers in the region, owners are in the local zone")
	}
}

// TestDivisionAllocations bounds the allocations of a cached division: it is computed once for each
// change, but read for each request.
func TestDivisionAllocations(t *testing.T) {
	g := NewWithT(t)
	services, known, nodes := deployment(220, 80)
	roster := rosterOf(nodes[0], known, nodes)
	roster.Divide(services, route.Regions{})
	began := time.Now()
	allocations := testing.AllocsPerRun(100, func() { roster.Divide(services, route.Regions{}) })
	t.Logf("%v for 100 cached divisions", time.Since(began))
	g.Expect(allocations).To(BeNumerically("<=", 10), "only the list of groups may be allocated")
}
