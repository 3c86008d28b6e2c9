// Package front serves the clients of a routed deployment: it finds the route
// of each request, asks servers through package fanout, and answers with one
// server's answer or with the merged answer of a shard set.
package front

import "github.com/bramblemast/bramblemast/pkg/exchange"

// Dialect names the headers by which clients and servers speak.
type Dialect struct {
	exchange.Dialect
	// Parts carries the evidence of the merged parts.
	Parts string
	// MissingParts carries the number of shards that are left out.
	MissingParts string
}
