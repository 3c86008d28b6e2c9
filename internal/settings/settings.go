// Package settings turns a node's YAML settings file and command-line flags
// into one validated, immutable Settings value. Every error is listed at once
// with the path of its field.
package settings

import (
	"net"
	"time"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Settings is the validated configuration of one node. It is immutable.
type Settings struct {
	Node        Node
	Listen      Listen
	Peers       Peers
	Store       Store
	MachineList MachineList
	Backends    Backends
	Callers     Callers
	Query       Query
	Stop        Stop
	Templates   Templates
	Log         Log
	Memory      Memory
}

// Node says who the node is.
type Node struct {
	// Name is shown to operators; the node's id adds a part that is unique for
	// each start.
	Name   string
	Zone   target.Zone
	Region target.Region
	// SourceIP is the address that the node's own connections come from; nil
	// lets the system choose.
	SourceIP net.IP
}

// Listen holds the host:port of each listener. Port 0 takes a free port.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	// PeersAdvertised is the host:port at which peers reach this node, if it
	// differs from Peers.
	PeersAdvertised string
}

// Peers says how to find other nodes.
type Peers struct {
	// Seeds are peer addresses to join through, beside the machine list.
	Seeds []peer.Address
}

// Store is the platform's configuration store.
type Store struct {
	// URL is the base address; empty runs the node without a store, on the
	// templates of Templates.Files and of its peers.
	URL     string
	Timeout time.Duration
}

// MachineList is the platform's list of machines.
type MachineList struct {
	URL      string
	Interval time.Duration
}

// Backends sets how back-end servers are probed and reached.
type Backends struct {
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// ProbesPerSecond bounds the probes that the node sends; it probes each
	// server less often where there are too many.
	ProbesPerSecond int
	// MaxResponseBytes bounds the body of one sub-response.
	MaxResponseBytes int64
	// SharingNodes is the number of nodes that share each server's slots and
	// connections; zero counts the living nodes.
	SharingNodes int
}

// Callers bounds what callers may hold of the node.
type Callers struct {
	MaxConnections int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	// WriteTimeout bounds each write to a caller that reads slowly.
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
}

// Query sets the execution of requests.
type Query struct {
	// AnswerMargin is the time before a request's deadline at which the answer
	// is put together.
	AnswerMargin time.Duration
	// MaxInFlight bounds the admitted requests for each service.
	MaxInFlight int
}

// Stop sets the planned stop.
type Stop struct {
	// Announce is the time between announcing the stop and closing the
	// listeners, for callers and peers to notice.
	Announce time.Duration
	// Timeout bounds the wait for requests in flight. It should be at least
	// the longest deadline of any template.
	Timeout time.Duration
}

// Templates names template files to start with.
type Templates struct {
	// Files are read at start; a template that peers or the store hold at the
	// same or a higher revision replaces the file's.
	Files []string
}

// Memory sets Go's garbage collection.
type Memory struct {
	// CollectPercent is how much the heap grows, relative to what is live,
	// before it is collected. More takes less processor time and more memory.
	CollectPercent int
	// LimitBytes is the memory above which collection gets more frequent.
	LimitBytes int64
}

// Log sets the log.
type Log struct {
	// Level is "trace", "debug", "info", "warn" or "error".
	Level string
}
