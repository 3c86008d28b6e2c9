// Package faultproxy is a TCP proxy that injects faults between processes:
// delay, jitter, limited bandwidth, cuts in both or one direction, resets, and
// connections that end in the middle of a frame.
//
// A Proxy has links, each a listener with an upstream address. Faults are rules
// that pick links and, by the address that they come from, connections. All
// rules that match a connection act together. The proxy is safe for concurrent
// use.
package faultproxy

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/topology"
)

// Duration is a duration that is written as text, for example "20ms".
type Duration = topology.Duration

// DirectionFaults are the faults of the bytes in one direction.
type DirectionFaults struct {
	// Delay holds back every byte, Jitter adds up to that much at random. The
	// order of bytes stays.
	Delay  Duration `json:"delay,omitempty" yaml:"delay,omitempty"`
	Jitter Duration `json:"jitter,omitempty" yaml:"jitter,omitempty"`
	// Stall lets no byte through until the rule ends, as a one-way cut does;
	// the bytes then follow.
	Stall bool `json:"stall,omitempty" yaml:"stall,omitempty"`
	// BytesPerSecond limits the bandwidth of each connection; no limit if zero.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty" yaml:"bytes_per_second,omitempty"`
	// ResetAfterBytes resets a connection once that many bytes more have
	// passed, in the middle of a frame if it comes so; never if zero.
	ResetAfterBytes int64 `json:"reset_after_bytes,omitempty" yaml:"reset_after_bytes,omitempty"`
}

// Faults are what a rule does to a connection.
type Faults struct {
	ToServer DirectionFaults `json:"to_server,omitzero" yaml:"to_server,omitempty"`
	ToClient DirectionFaults `json:"to_client,omitzero" yaml:"to_client,omitempty"`
	// Refuse closes the listeners and resets the connections of the links, so
	// that a connection attempt is refused. It acts on every source.
	Refuse bool `json:"refuse,omitempty" yaml:"refuse,omitempty"`
	// Reset resets connections, the new ones as soon as they are accepted.
	Reset bool `json:"reset,omitempty" yaml:"reset,omitempty"`
}

// Cut returns the faults of a network that lets nothing through in either
// direction and says nothing of it.
func Cut() Faults {
	return Faults{ToServer: DirectionFaults{Stall: true}, ToClient: DirectionFaults{Stall: true}}
}

// Selector picks links and connections; an empty field matches all.
type Selector struct {
	Link string `json:"link,omitempty" yaml:"link,omitempty"`
	// Zone is the zone of the link's upstream.
	Zone string `json:"zone,omitempty" yaml:"zone,omitempty"`
	// Source is the network, such as 127.0.10.0/24, that a connection comes
	// from.
	Source string `json:"source,omitempty" yaml:"source,omitempty"`
}

// Rule is a fault with what it acts on.
type Rule struct {
	Selector `yaml:",inline"`
	Faults   Faults `json:"faults" yaml:"faults"`
}

// activeRule is a rule in force.
type activeRule struct {
	id     int
	rule   Rule
	source netip.Prefix
}

func (r Rule) compile(id int) (activeRule, error) {
	compiled := activeRule{id: id, rule: r}
	if r.Source == "" {
		return compiled, nil
	}
	source, err := netip.ParsePrefix(r.Source)
	if err != nil {
		return activeRule{}, errors.Wrap(err, "source")
	}
	compiled.source = source
	return compiled, nil
}

func (r activeRule) matchesLink(link LinkConfig) bool {
	return (r.rule.Link == "" || r.rule.Link == link.Name) && (r.rule.Zone == "" || r.rule.Zone == link.Zone)
}

func (r activeRule) matchesSource(source netip.Addr) bool {
	return !r.source.IsValid() || r.source.Contains(source)
}

// combine returns the faults of two rules that act together.
func combine(a, b Faults) Faults {
	return Faults{
		ToServer: combineDirections(a.ToServer, b.ToServer),
		ToClient: combineDirections(a.ToClient, b.ToClient),
		Refuse:   a.Refuse || b.Refuse,
		Reset:    a.Reset || b.Reset,
	}
}

func combineDirections(a, b DirectionFaults) DirectionFaults {
	return DirectionFaults{
		Delay:           a.Delay + b.Delay,
		Jitter:          a.Jitter + b.Jitter,
		Stall:           a.Stall || b.Stall,
		BytesPerSecond:  leastSet(a.BytesPerSecond, b.BytesPerSecond),
		ResetAfterBytes: leastSet(a.ResetAfterBytes, b.ResetAfterBytes),
	}
}

// leastSet returns the lesser of two limits of which zero means none.
func leastSet(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
