// Package limit bounds the sub-requests that this node has at each back-end
// server, from the node's share of the server and from what answers show.
package limit

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// Options configures Servers. The zero value is good for production.
type Options struct{}

// Share is the part of a server that this node may use.
type Share struct {
	// Slots is the node's share of the server's slots; it may be below 1.
	Slots float64
	// Connections is the greatest number of connections, and so of
	// sub-requests in flight, that this node may have at the server.
	Connections int
}

// Result is how a sub-request ended.
type Result struct {
	Latency time.Duration
	// Shed means that the server refused the sub-request for load.
	Shed bool
	// Failed means any other failure, a time-out included.
	Failed bool
	// Cancelled means that the node gave the sub-request up before its end; it
	// says nothing about the server.
	Cancelled bool
}

// Observation is the state of one server's limiter.
type Observation struct {
	InFlight int
	Limit    int
	// Latency is the moving average of good answers; zero before the first.
	Latency time.Duration
	// FailureShare is the recent share of failed or shed sub-requests.
	FailureShare float64
}

// Servers limits the sub-requests to every server of a node.
type Servers struct{}

// NewServers returns a limiter without servers.
func NewServers(options Options) *Servers { return &Servers{} }

// Configure sets the node's share of a server.
func (s *Servers) Configure(server target.ServerID, share Share) {}

// Forget drops the state of a server that is gone.
func (s *Servers) Forget(server target.ServerID) {}

// TryAcquire takes a permit if there is one now.
func (s *Servers) TryAcquire(server target.ServerID) (*Permit, bool) { return &Permit{}, true }

// Acquire takes a permit, after a short wait if need be.
func (s *Servers) Acquire(ctx context.Context, server target.ServerID) (*Permit, error) {
	return &Permit{}, nil
}

// Observe returns the state of a server.
func (s *Servers) Observe(server target.ServerID) Observation { return Observation{Limit: 1} }

// Permit allows one sub-request.
type Permit struct{}

// Release gives the permit back; it must be called exactly once.
func (p *Permit) Release(result Result) {}
