// Package owner divides the shards of gathered requests among the nodes, so that
// few nodes near a shard's servers ask them on behalf of all others.
//
// An owner keeps its connections open, sees enough requests of each server to know
// within milliseconds how it fares, and merges what it gets before it answers. Which
// node owns what follows by rendezvous hashing from the nodes and servers that are
// known: nobody has to agree on it, since every node can answer for every shard.
//
// The types of this package are safe for concurrent use.
package owner

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// candidateCount is how many nodes a group of services has in rank: the owner, and
// those that take its place while it does not answer.
const candidateCount = 3

// Servers tells what is known of the servers of services; *fleet.Fleet implements
// it.
type Servers interface {
	// Generation changes whenever Places may have.
	Generation() uint64
	// Places counts, for each zone, how many of the services have a server there.
	Places(services []string) map[string]int
	// IsCrowded reports whether there are more nodes than a server of a service can
	// keep a connection for.
	IsCrowded(service string) bool
	// Knows reports whether each of the services has a listed server.
	Knows(services []string) bool
}

// Roster divides services into groups and ranks the nodes for each.
type Roster struct {
	local   directory.Node
	regions map[string]string
	servers Servers

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// byZone are the nodes that can be asked, this one among them.
	byZone map[string][]directory.Node
	// layouts are kept until nodes or servers change, by the list of services.
	layouts    map[serviceList]layout
	generation uint64
	// avoided are the nodes that do not answer, by name.
	avoided map[string]avoidance
}

// avoidance is since when a node does not answer.
type avoidance struct {
	node  directory.Node
	since time.Time
}

// serviceList identifies a list of services; the lists of a configuration do not
// change.
type serviceList struct {
	first *string
	count int
}

// layout is the division of one list of services.
type layout []rankedGroup

// rankedGroup is some services with the nodes that may own them, best first.
type rankedGroup struct {
	indexes    []int
	candidates []directory.Node
}

// NewRoster returns a roster that knows no other node. regions maps each zone to
// its region.
func NewRoster(local directory.Node, regions map[string]string, servers Servers) *Roster {
	return &Roster{
		local: local, regions: regions, servers: servers,
		byZone: map[string][]directory.Node{local.Zone: {local}}, layouts: make(map[serviceList]layout),
		avoided: make(map[string]avoidance),
	}
}

// SetNodes takes the nodes that are known.
func (r *Roster) SetNodes(nodes []directory.Node) {
	byZone := map[string][]directory.Node{r.local.Zone: {r.local}}
	for _, node := range nodes {
		if node.Name != r.local.Name && node.PeerAddress != "" {
			byZone[node.Zone] = append(byZone[node.Zone], node)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byZone = byZone
	clear(r.layouts)
}

// Divide returns the groups of services that have an owner. There is none where
// each node can keep connections of its own.
func (r *Roster) Divide(services []string) []fanout.Group {
	if len(services) == 0 || !r.servers.IsCrowded(services[0]) {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var groups []fanout.Group
	for _, group := range r.layout(services) {
		for _, candidate := range group.candidates {
			if _, isAvoided := r.avoided[candidate.Name]; isAvoided {
				continue
			}
			name := candidate.Name
			if name == r.local.Name {
				name = ""
			}
			groups = append(groups, fanout.Group{Owner: name, Indexes: group.indexes})
			break
		}
	}
	return groups
}

// layout returns the division of a list of services. The mutex is held.
func (r *Roster) layout(services []string) layout {
	if generation := r.servers.Generation(); generation != r.generation {
		r.generation = generation
		clear(r.layouts)
	}
	key := serviceList{first: &services[0], count: len(services)}
	found, ok := r.layouts[key]
	if !ok {
		found = r.divide(services)
		r.layouts[key] = found
	}
	return found
}

// divide cuts the services, in the order of their names, into groups of about even
// size. The mutex is held.
func (r *Roster) divide(services []string) layout {
	order := make([]int, len(services))
	for index := range order {
		order[index] = index
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(services[a], services[b]) })
	count := groupCount(len(services))
	divided := make(layout, 0, count)
	for position := range count {
		indexes := order[position*len(order)/count : (position+1)*len(order)/count]
		names := make([]string, len(indexes))
		for place, index := range indexes {
			names[place] = services[index]
		}
		divided = append(divided, rankedGroup{indexes: indexes, candidates: r.candidates(names)})
	}
	return divided
}

// groupCount returns into how many groups so many services are divided. A message
// costs about as much processor time as a sub-request, and those of a node follow
// each other: the asking node's part grows with the number of groups, an owner's with
// the services of one group, so that their sum is least at the square root.
func groupCount(services int) int { return int(math.Ceil(math.Sqrt(float64(services)))) }

// candidates ranks the nodes of the zone that has most of the services' servers,
// the nearest of such zones. The mutex is held.
func (r *Roster) candidates(services []string) []directory.Node {
	places := r.servers.Places(services)
	zones := r.zonesOfRegion()
	best := r.local.Zone
	for _, zone := range zones {
		if places[zone] > places[best] {
			best = zone
		}
	}
	byName := make(map[string]directory.Node, len(r.byZone[best]))
	names := make([]string, 0, len(r.byZone[best]))
	for _, node := range r.byZone[best] {
		byName[node.Name] = node
		names = append(names, node.Name)
	}
	var ranked []directory.Node
	for _, name := range rendezvous.Top(services[0], names, candidateCount) {
		ranked = append(ranked, byName[name])
	}
	return ranked
}

// zonesOfRegion returns the zones of this node's region that have nodes, in an
// order that all nodes share. The mutex is held.
func (r *Roster) zonesOfRegion() []string {
	var zones []string
	for zone := range r.byZone {
		if zone == r.local.Zone || r.regions[zone] != "" && r.regions[zone] == r.regions[r.local.Zone] {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// find returns a node by its name.
func (r *Roster) find(name string) (directory.Node, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, nodes := range r.byZone {
		for _, node := range nodes {
			if node.Name == name {
				return node, true
			}
		}
	}
	return directory.Node{}, false
}

// avoid leaves a node out of the owners until it is restored, and reports whether
// that is new.
func (r *Roster) avoid(node directory.Node, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, known := r.avoided[node.Name]; known || node.Name == r.local.Name {
		return false
	}
	r.avoided[node.Name] = avoidance{node: node, since: now}
	return true
}

// isAvoided reports whether a node is left out of the owners.
func (r *Roster) isAvoided(name string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, found := r.avoided[name]
	return found
}

// restore lets a node be an owner again, and returns for how long it was none.
func (r *Roster) restore(name string, now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	since := r.avoided[name].since
	delete(r.avoided, name)
	return now.Sub(since)
}

// avoidedNodes returns the nodes that are left out, and forgets those that are no
// longer known.
func (r *Roster) avoidedNodes() []directory.Node {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var nodes []directory.Node
	for name, left := range r.avoided {
		if !slices.Contains(r.byZone[left.node.Zone], left.node) {
			delete(r.avoided, name)
			continue
		}
		nodes = append(nodes, left.node)
	}
	return nodes
}
