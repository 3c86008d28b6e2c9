// Package backend defines how a node speaks to back-end servers, without a
// wire format; package httpbackend implements it over HTTP/1.1.
//
// Implementations of Client are safe for concurrent use. They check the whole
// body of an answer (length and checksum) and that the answer belongs to the
// attempt before they return it, and they classify every failure as an
// *outcome.Error with the peer set.
package backend

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Request is one sub-request to one server.
type Request struct {
	Target target.Target
	// RequestID identifies the caller's request, Attempt the sub-request
	// within it. The pair is unique and matches a response to its request.
	RequestID string
	Attempt   uint32
	Tenant    string
	Query     string
	Limit     int
	// Payload and IdempotencyKey are set for not-repeatable requests.
	Payload        []byte
	IdempotencyKey string
}

// Record is one row of an answer.
type Record struct {
	Key     string
	Score   int64
	Payload []byte
}

// Response is a whole, checked answer to one sub-request.
type Response struct {
	// Version is the index version that the answer was drawn from.
	Version target.Version
	// Range is the part of the key space that the answer covers.
	Range    keyspace.Range
	Records  []Record
	Matches  uint64
	ScoreSum int64
	Hints    Hints
}

// Hints is what a server says about itself with an answer or a refusal. All of
// it may lag or mislead.
type Hints struct {
	Draining bool
	// Instance is the Status.Instance of the process that answered, or empty
	// if not said.
	Instance string
	// Load is the share of slots in use, or negative if not said.
	Load float64
	// NewestVersion is the newest index version that the server serves, or
	// zero if not said.
	NewestVersion target.Version
}

// Client sends sub-requests. The deadline of ctx is passed on to the server,
// and cancelling ctx cancels the work at the server.
type Client interface {
	Do(ctx context.Context, request *Request) (*Response, error)
}

// Shard is one part of an index that a server holds.
type Shard struct {
	Group string
	Range keyspace.Range
}

// Status is what a server reports when it is probed.
type Status struct {
	Service target.Service
	// Instance changes with each start of the server.
	Instance string
	Draining bool
	// Ready is false while the server starts.
	Ready bool
	// Uptime is the time since the server started.
	Uptime time.Duration
	// Slots and Connections are the limits of the server over all its callers.
	Slots       int
	Connections int
	// Load is the reported share of slots in use.
	Load float64
	// Indexes lists the versions that the server serves, with the parts.
	Indexes []Index
}

// Index is the parts that a server holds of one index version.
type Index struct {
	Version target.Version
	Shards  []Shard
}

// Prober asks a server for its status.
type Prober interface {
	Probe(ctx context.Context, server target.ServerID) (*Status, error)
}
