// Package front serves the clients of a routed deployment: it finds the route of each request, sends
// it to servers through package fanout, and answers with one server's answer or with the merged
// answers of a set of shards.
package front

import "github.com/bramblemast/bramblemast/pkg/exchange"

// Dialect holds the names of the HTTP headers used with clients and servers.
type Dialect struct {
	exchange.Dialect
	// Parts is the header with the evidence of the merged parts.
	Parts string
	// MissingParts is the header with the number of shards missing from the answer.
	MissingParts string
}
