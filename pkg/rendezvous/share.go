package rendezvous

// Share is a node's part of a server's limits.
type Share struct {
	// Connections is the number of connections that the node may open.
	Connections int
	// Slots is the number of sub-requests that the node starts with as its
	// concurrency limit; it adapts from there.
	Slots int
}

// reservedConnections are kept free at each server: one for each of its two
// probing nodes and as many for nodes that do not know of each other yet.
const reservedConnections = 4

// ShareOf divides a server's slots and connections over the nodes that share
// it. Each node gets at least one of both, so that with more nodes than
// connections the sum exceeds the limit; ChooseSubset avoids that. Limits of
// zero or less count as unknown and give the least share.
func ShareOf(slots, connections, nodes int) Share {
	nodes = max(nodes, 1)
	return Share{
		Connections: max(usableConnections(connections)/nodes, 1),
		Slots:       max((slots+nodes-1)/nodes, 1),
	}
}

// usableConnections returns how many of a server's connections are for queries.
func usableConnections(connections int) int {
	return connections - min(reservedConnections, connections/2)
}
