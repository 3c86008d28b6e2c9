package rendezvous

import (
	"slices"
	"sort"

	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// DefaultMinReplicas is the least number of replicas of a part that a node
	// connects to, if the part has them.
	DefaultMinReplicas = 2
	// DefaultNodeConnections is the number of connections that a node may have
	// to all servers together.
	DefaultNodeConnections = 1250
	// fanInSlack is by how much the nodes of one server may exceed the mean.
	// A little room keeps a change of one node from moving many others.
	fanInSlack = 0.10
)

// Replica is a server that holds a part.
type Replica struct {
	Server target.ServerID
	// Distance is 0 in the node's zone, 1 in its region, 2 elsewhere.
	Distance int
	// Connections is the server's limit over all callers; zero means no limit.
	Connections int
}

// Part is one part of a service's index with all servers that hold it.
type Part struct {
	// Key names the part, for example "service/group/0-16384".
	Key      string
	Replicas []Replica
}

// SubsetOptions bounds the choice of Subset. The zero value means the defaults.
type SubsetOptions struct {
	MinReplicas     int
	NodeConnections int
}

// Subset is the choice of servers for one node.
type Subset struct {
	// Servers are the chosen servers, sorted.
	Servers []target.ServerID
	// Sharing is the number of the given nodes that connect to each of them. It
	// is exact for a server with one part and an upper bound for others.
	Sharing map[target.ServerID]int
}

// ChooseSubset returns the servers that a node connects to. nodes are all
// nodes that choose from the same servers, the node itself included: usually
// the live nodes of its zone. Every node that is given the same nodes and
// parts computes a consistent choice:
//
//   - a part has at least MinReplicas chosen servers, or all if it has fewer;
//     nearer ones are chosen first;
//   - no server is chosen by more than 1+10% of the mean number of nodes of
//     its part (rounded up), or by more nodes than it has connections, unless
//     the rule above needs it;
//   - an installation whose connections suffice gets all servers.
func ChooseSubset(node target.NodeID, nodes []target.NodeID, parts []Part, options SubsetOptions) Subset {
	if options.MinReplicas <= 0 {
		options.MinReplicas = DefaultMinReplicas
	}
	if options.NodeConnections <= 0 {
		options.NodeConnections = DefaultNodeConnections
	}
	budget := max(options.NodeConnections/max(len(parts), 1), options.MinReplicas)
	chosen := newChooser(node, nodes)
	for index := range parts {
		chosen.addPart(&parts[index], budget, options.MinReplicas)
	}
	return chosen.subset()
}

// chooser computes the choices of all nodes and keeps those of one.
type chooser struct {
	node  target.NodeID
	nodes []hashed[target.NodeID]
	// mine holds the servers of the node's choice.
	mine map[target.ServerID]struct{}
	// users counts, for each server, the nodes that chose it, added up over the
	// server's parts; a node that chose it for two of them counts twice.
	users map[target.ServerID]int
}

func newChooser(node target.NodeID, nodes []target.NodeID) *chooser {
	set := NewSet(nodes)
	if !slices.Contains(nodes, node) {
		set = NewSet(append([]target.NodeID{node}, nodes...))
	}
	return &chooser{
		node:  node,
		nodes: set.candidates,
		mine:  make(map[target.ServerID]struct{}),
		users: make(map[target.ServerID]int),
	}
}

// addPart adds the choices for one part: replicas of the nearest distance
// first, then farther ones until there are enough.
func (c *chooser) addPart(part *Part, budget, minReplicas int) {
	missing := minReplicas
	for _, tier := range tiers(part.Replicas) {
		count := tierCount(tier, len(c.nodes), budget, missing)
		assign(part.Key, c.nodes, tier, count, c.record)
		missing -= count
		if missing <= 0 {
			return
		}
	}
}

// record takes one choice.
func (c *chooser) record(node target.NodeID, server target.ServerID) {
	c.users[server]++
	if node == c.node {
		c.mine[server] = struct{}{}
	}
}

func (c *chooser) subset() Subset {
	subset := Subset{
		Servers: make([]target.ServerID, 0, len(c.mine)),
		Sharing: make(map[target.ServerID]int, len(c.mine)),
	}
	for server := range c.mine {
		subset.Servers = append(subset.Servers, server)
		subset.Sharing[server] = min(c.users[server], len(c.nodes))
	}
	slices.Sort(subset.Servers)
	return subset
}

// tiers splits replicas by distance, nearest first.
func tiers(replicas []Replica) [][]Replica {
	sorted := slices.Clone(replicas)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Distance != sorted[j].Distance {
			return sorted[i].Distance < sorted[j].Distance
		}
		return sorted[i].Server < sorted[j].Server
	})
	var split [][]Replica
	for start := 0; start < len(sorted); {
		end := start
		for end < len(sorted) && sorted[end].Distance == sorted[start].Distance {
			end++
		}
		split = append(split, sorted[start:end])
		start = end
	}
	return split
}

// tierCount returns how many replicas of a tier each node takes: as many as
// its own connections and those of the servers allow, but at least missing.
func tierCount(tier []Replica, nodes, budget, missing int) int {
	total := 0
	for _, replica := range tier {
		if replica.Connections <= 0 {
			total += nodes
			continue
		}
		total += min(usableConnections(replica.Connections), nodes)
	}
	allowed := min(budget, total/nodes)
	return min(max(allowed, missing), len(tier))
}
