// Package owner divides the shards of gathered requests among the nodes, so that a few nodes near a
// shard's servers send requests to them on behalf of all other nodes.
//
// An owner keeps its connections open, sees enough requests to each server to notice a change of
// its state within milliseconds, and merges the servers' answers before it replies. Ownership
// follows by rendezvous hashing from the known nodes and servers. Nodes need not agree on it, since
// every node can answer for every shard.
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

// candidateCount is the number of ranked nodes of a group of services: the owner, and those that
// replace it while it does not answer.
const candidateCount = fleet.OwnersPerRegion

// Servers provides what is known about the servers of services; *fleet.Fleet implements it. Its
// methods have to be safe for concurrent use.
type Servers interface {
	// Generation changes whenever the result of ServingZones may have changed.
	Generation() uint64
	// ServingZones returns the zones in which a service has servers.
	ServingZones(service string) []string
	// HasScarceConnections reports whether there are more nodes than connections that a server of
	// the service can keep open.
	HasScarceConnections(service string) bool
	// HasServersFor reports whether every one of the services has a listed server.
	HasServersFor(services []string) bool
}

// Roster divides services into groups and ranks the candidate owners of each group. It is safe for
// concurrent use.
type Roster struct {
	local   directory.Node
	regions map[string]string
	servers Servers

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// byName holds the nodes that can be asked, including this one; byZone holds their names.
	byName map[string]directory.Node
	byZone map[string][]string
	// layouts is a cache, by list of services, that is cleared when nodes or servers change.
	layouts    map[serviceList]layout
	generation uint64
	// exclusions holds the nodes that do not answer in time, or recently did not.
	exclusions exclusions
}

// serviceList identifies a list of services by its first element and length, since the lists of a
// configuration do not change.
type serviceList struct {
	first *string
	count int
}

// layout is the division of one list of services.
type layout []rankedGroup

// rankedGroup is a group of services, by their indexes, with its candidate owners, best first.
type rankedGroup struct {
	indexes    []int
	candidates []directory.Node
}

// NewRoster returns a roster that knows only the local node. regions maps each zone to its region.
func NewRoster(local directory.Node, regions map[string]string, servers Servers) *Roster {
	created := &Roster{
		local: local, regions: regions, servers: servers, layouts: make(map[serviceList]layout),
		exclusions: make(exclusions),
	}
	created.SetNodes(nil)
	return created
}

// SetNodes replaces the known nodes. Nodes without a peer address are ignored.
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

// Divide returns the groups of services that have an owner. It returns none where each node can
// keep connections of its own, and none for a request that may not be served in this node's region,
// where all owners are. An empty Owner means this node.
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

// layout returns the division of a list of services. The caller holds the mutex.
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

// divide groups the services by the zone of their owners, and those of a zone, ordered by name,
// into groups of about equal size. The caller holds the mutex.
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

// groupCount returns the number of groups for a number of services. A message costs about as much
// processor time as a sub-request, and a node sends them one after another: the asking node's time
// grows with the number of groups, an owner's with the services in one group. Their sum is smallest
// at the square root of the number of services.
func groupCount(services int) int { return int(math.Ceil(math.Sqrt(float64(services)))) }

// ownerZone returns the zone whose nodes own a service: a zone of this node's region that has both
// nodes and servers of the service, so that the servers' answers are merged before they leave their
// zone. All nodes of a region choose the same zone. If there is none, it is this node's own zone.
// The caller holds the mutex.
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

// candidates ranks the nodes of a zone for a group, which is identified by its first service. The
// caller holds the mutex.
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

// exclude excludes a node from the owners until it returns. It returns false if the node was
// excluded already or is this node. leeway is the time within which a probe must be answered; zero
// if the node was not late. askedAt is when the question was asked during which the node was lost.
func (r *Roster) exclude(node directory.Node, leeway time.Duration, askedAt, now time.Time) bool {
	if node.Name == r.local.Name {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.exclusions.exclude(node, leeway, askedAt, now)
}

// recordReport records that a node has sent a report, late or not. If this readmits the node, it
// returns for how long the node was excluded, and true.
func (r *Roster) recordReport(name string, isLate bool, now time.Time) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.exclusions.recordReport(name, isLate, now)
}

// recordProbe records the result of a probe and returns the same as recordReport.
func (r *Roster) recordProbe(node directory.Node, isAnswered bool, took time.Duration, now time.Time) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.exclusions.recordProbe(node, isAnswered, took, now)
}

// dueProbes returns the probes to send now and the time of the next one, zero if there is none.
func (r *Roster) dueProbes(now time.Time) ([]probe, time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.exclusions.takeDue(r.byName, now)
}
