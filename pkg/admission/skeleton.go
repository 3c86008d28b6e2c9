// Package admission decides at a node, for each service, which requests run
// now, which wait and which are refused.
package admission

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// Options configures a Gate. The zero value is good for production.
type Options struct{}

// Request is what a Gate needs to know of a request.
type Request struct {
	Tenant   string
	Class    policy.Class
	Policy   policy.AdmissionPolicy
	Deadline time.Time
}

// Result is how an admitted request ended.
type Result struct {
	Latency time.Duration
	// Overloaded means that sub-requests were shed or locally refused.
	Overloaded bool
	// Cancelled means that the caller gave the request up.
	Cancelled bool
}

// Observation is the state of a Gate at one moment.
type Observation struct {
	InFlight       int
	Queued         int
	Limit          int
	DrainRate      float64
	TypicalService time.Duration
}

// Gate admits the requests of one service at one node.
type Gate struct{}

// NewGate returns an open gate.
func NewGate(options Options) *Gate { return &Gate{} }

// Acquire admits a request, after a wait if need be, or refuses it at once
// with an *outcome.Error.
func (g *Gate) Acquire(ctx context.Context, request Request) (*Ticket, error) { return &Ticket{}, nil }

// Observe returns the current state.
func (g *Gate) Observe() Observation { return Observation{} }

// Ticket is the admission of one request.
type Ticket struct{}

// Release ends the admission; it must be called exactly once.
func (t *Ticket) Release(result Result) {}
