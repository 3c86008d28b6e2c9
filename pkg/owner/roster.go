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
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// candidateCount is how many nodes a group of services has in rank: the owner, and
// those that take its place while it does not answer.
const candidateCount = fleet.OwnersPerRegion

// Servers tells what is known of the servers of services; *fleet.Fleet implements
// it.
type Servers interface {
	// Generation changes whenever the result of ServingZones may have changed.
	Generation() uint64
	// ServingZones returns the zones in which a service has servers.
	ServingZones(service string) []string
	// HasScarceConnections reports whether there are more nodes than a server of a service can
	// keep a connection for.
	HasScarceConnections(service string) bool
	// HasServersFor reports whether each of the services has a listed server.
	HasServersFor(services []string) bool
}

// Roster divides services into groups and ranks the nodes for each.
type Roster struct {
	local   directory.Node
	regions map[string]string
	servers Servers

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// byName are the nodes that can be asked, this one among them, and byZone their
	// names.
	byName map[string]directory.Node
	byZone map[string][]string
	// layouts are kept until nodes or servers change, by the list of services.
	layouts    map[serviceList]layout
	generation uint64
	// absences are the nodes that do not answer in time, or did not a while ago.
	exclusions exclusions
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
	created := &Roster{
		local: local, regions: regions, servers: servers, layouts: make(map[serviceList]layout),
		exclusions: make(exclusions),
	}
	created.SetNodes(nil)
	return created
}

// SetNodes takes the nodes that are known.
func (r *Roster) SetNodes(nodes []directory.Node) {
	byName := map[string]directory.Node{r.local.Name: r.local}
	byZone := map[string][]string{r.local.Zone: {r.local.Name}}
	for _, node := range nodes {
		if node.Name != r.local.Name && node.PeerAddress != "" {
			byName[node.Name] = node
			byZone[node.Zone] = append(byZone[node.Zone], node.Name)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byName, r.byZone = byName, byZone
	r.exclusions.removeReplaced(byName)
	clear(r.layouts)
}

// Divide returns the groups of services that have an owner. There is none where
// each node can keep connections of its own, and none for a request that may not be sent
// on within this node's region, where all owners are.
func (r *Roster) Divide(services []string, regions route.Regions) []fanout.Group {
	if len(services) == 0 || !r.servers.HasScarceConnections(services[0]) || !regions.Allow(r.regions[r.local.Zone]) {
		return nil
	}
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var groups []fanout.Group
	for _, group := range r.layout(services) {
		for _, candidate := range group.candidates {
			if !r.exclusions.admit(candidate.Name, now) {
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

// divide groups the services by the zone of their owners, and those of a zone, in the
// order of their names, into parts of about even size. The mutex is held.
func (r *Roster) divide(services []string) layout {
	byZone := make(map[string][]int)
	for index, service := range services {
		zone := r.ownerZone(service)
		byZone[zone] = append(byZone[zone], index)
	}
	var divided layout
	for zone, indexes := range byZone {
		slices.SortFunc(indexes, func(a, b int) int { return cmp.Compare(services[a], services[b]) })
		count := (groupCount(len(services))*len(indexes) + len(services) - 1) / len(services)
		for position := range count {
			part := indexes[position*len(indexes)/count : (position+1)*len(indexes)/count]
			divided = append(divided, rankedGroup{indexes: part, candidates: r.candidates(services[part[0]], zone)})
		}
	}
	return divided
}

// groupCount returns into how many groups so many services are divided. A message
// costs about as much processor time as a sub-request, and those of a node follow
// each other: the asking node's part grows with the number of groups, an owner's with
// the services of one group, so that their sum is least at the square root.
func groupCount(services int) int { return int(math.Ceil(math.Sqrt(float64(services)))) }

// ownerZone returns the zone whose nodes own a service for this node: one of the
// region that has both servers of it and nodes, so that the answers of the servers do
// not leave their zone before they are merged. All nodes of a region choose the same
// one; without any it is this node's own. The mutex is held.
func (r *Roster) ownerZone(service string) string {
	var zones []string
	for _, zone := range r.servers.ServingZones(service) {
		if directory.SameRegion(r.regions, zone, r.local.Zone) && len(r.byZone[zone]) > 0 {
			zones = append(zones, zone)
		}
	}
	if len(zones) == 0 {
		return r.local.Zone
	}
	return rendezvous.Top(service, zones, 1)[0]
}

// candidates ranks the nodes of a zone for a group, which is named by its first
// service. The mutex is held.
func (r *Roster) candidates(group, zone string) []directory.Node {
	var ranked []directory.Node
	for _, name := range rendezvous.Top(group, r.byZone[zone], candidateCount) {
		ranked = append(ranked, r.byName[name])
	}
	return ranked
}

// find returns a node by its name.
func (r *Roster) find(name string) (directory.Node, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	node, ok := r.byName[name]
	return node, ok
}

// leave leaves a node out of the owners until it has returned, and reports whether that is new.
// leeway is in which time a trial must be answered; zero if the node was not late. asked is when
// the question was asked to which it was lost.
func (r *Roster) exclude(node directory.Node, leeway time.Duration, askedAt, now time.Time) bool {
	if node.Name == r.local.Name {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.exclusions.exclude(node, leeway, askedAt, now)
}

// reported takes that a node has reported, late or not. It returns for how long the node was left
// out, if it was and is no longer.
func (r *Roster) recordReport(name string, isLate bool, now time.Time) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.exclusions.recordReport(name, isLate, now)
}

// tried takes how a trial went, and returns the same as reported.
func (r *Roster) recordProbe(node directory.Node, isAnswered bool, took time.Duration, now time.Time) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.exclusions.recordProbe(node, isAnswered, took, now)
}

// dueProbes returns the nodes to try now, and when the next one is due; zero for none.
func (r *Roster) dueProbes(now time.Time) ([]probe, time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.exclusions.dueProbes(r.byName, now)
}
