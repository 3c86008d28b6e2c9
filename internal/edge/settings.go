// Package edge assembles the node of a routed deployment: it follows the platform's store, serves
// clients through package front, and drains before it stops.
package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quota"
)

// Settings of a node. The names of durations end in their unit.
type Settings struct {
	Node   NodeSettings      `json:"node"`
	Zones  map[string]string `json:"zones"`
	Listen ListenSettings    `json:"listen"`
	Store  StoreSettings     `json:"store"`
	Limits LimitSettings     `json:"limits"`
	Bounds BoundSettings     `json:"bounds"`
	Peers  []string          `json:"peers"`
}

// NodeSettings identify the node and say where it runs.
type NodeSettings struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	// FirstStart says that the whole system starts for the first time, with all nodes starting
	// within seconds of each other.
	FirstStart bool `json:"first_start"`
}

// ListenSettings are the addresses (ip:port) that the node listens on.
type ListenSettings struct {
	Clients string `json:"clients"`
	Ready   string `json:"ready"`
	// Peers is the address for requests of other nodes; empty for none.
	Peers string `json:"peers"`
	// PeersAdvertised is the address at which other nodes reach Peers; empty if it is the same.
	PeersAdvertised string `json:"peers_advertised"`
	// MetricsPort is the port of the metrics on the node's address; zero for none.
	MetricsPort int `json:"metrics_port"`
}

// StoreSettings hold the address (ip:port) of the platform's store.
type StoreSettings struct {
	Address string `json:"address"`
}

// LimitSettings are the machine's limits; zero for none.
type LimitSettings struct {
	// MemoryMB is the memory in MiB beyond which the platform kills the process.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of files and sockets that the process may open.
	Descriptors int `json:"descriptors"`
}

// BoundSettings are the bounds that the deployment guarantees.
type BoundSettings struct {
	// DrainMillis is how long a leaving server may still receive requests.
	DrainMillis int `json:"drain_ms"`
	// ApplyMillis is the maximum time between the acknowledgement of a configuration and its taking
	// effect; zero if unknown.
	ApplyMillis int `json:"apply_ms"`
	// ContactMillis is how long the platform must have been answering before a node is held to the
	// other bounds.
	ContactMillis int `json:"contact_ms"`
	// GraceSeconds is the time between the stop signal and the end of the process.
	GraceSeconds float64 `json:"grace_s"`
	// ExtraRatio and Extra bound the requests to a second server, over all nodes and in each window
	// of ExtraWindowSeconds.
	ExtraRatio         float64 `json:"extra_ratio"`
	Extra              float64 `json:"extra"`
	ExtraWindowSeconds float64 `json:"extra_window_s"`
	// EvacuateMillis is how long after the acknowledgement of an evacuation the servers of the zone
	// may still receive requests; zero if unknown.
	EvacuateMillis int `json:"evacuate_ms"`
	// ColdFactor and ColdExtra bound the requests to a cold server during warm-up: in a second,
	// ColdFactor times what it can handle plus ColdExtra requests; zero if unknown.
	ColdFactor float64 `json:"cold_factor"`
	ColdExtra  float64 `json:"cold_extra"`
	// RefuseUnconfirmedKeys makes a node refuse requests that need a key while it cannot confirm
	// that its copy of the keys is at most RevokeMillis old. Otherwise it continues to serve with
	// the keys that it knows.
	RefuseUnconfirmedKeys bool `json:"strict_revoke"`
	RevokeMillis          int  `json:"revoke_ms"`
	// LimitWindowSeconds is the window in which a tenant's requests over all nodes are counted; zero
	// if tenant limits are not enforced. In each window the requests may exceed the tenant's limit
	// by the factor LimitOvershoot and by LimitSlack further requests.
	LimitWindowSeconds float64 `json:"quota_window_s"`
	LimitOvershoot     float64 `json:"quota_overshoot"`
	LimitSlack         float64 `json:"quota_slack"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(content)
}

// ParseSettings decodes and checks settings. It returns one error that names every invalid field.
func ParseSettings(content []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	settings := &Settings{}
	if err := decoder.Decode(settings); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if problems := settings.problems(); len(problems) > 0 {
		return nil, errors.Errorf("settings: %s", strings.Join(problems, "; "))
	}
	return settings, nil
}

// problems returns the texts of all problems of the settings.
func (s *Settings) problems() []string {
	problems := append(s.addressProblems(), s.boundProblems()...)
	if s.Listen.MetricsPort < 0 || s.Listen.MetricsPort > 65535 {
		problems = append(problems, "listen.metrics_port is not a port")
	}
	return problems
}

// addressProblems returns the problems of the names and addresses.
func (s *Settings) addressProblems() []string {
	var problems []string
	requireValue := func(name, value string) {
		if value == "" {
			problems = append(problems, name+" is missing")
		}
	}
	checkAddress := func(name, value string, optional bool) {
		if value == "" && optional {
			return
		}
		if _, _, err := net.SplitHostPort(value); err != nil {
			problems = append(problems, fmt.Sprintf("%s: %q is not ip:port", name, value))
		}
	}
	requireValue("node.name", s.Node.Name)
	requireValue("node.zone", s.Node.Zone)
	checkAddress("listen.clients", s.Listen.Clients, false)
	checkAddress("listen.ready", s.Listen.Ready, false)
	checkAddress("listen.peers", s.Listen.Peers, true)
	checkAddress("listen.peers_advertised", s.Listen.PeersAdvertised, true)
	checkAddress("store.address", s.Store.Address, false)
	for index, peer := range s.Peers {
		checkAddress(fmt.Sprintf("peers.%d", index), peer, false)
	}
	return problems
}

// boundProblems returns the problems of the limits and bounds.
func (s *Settings) boundProblems() []string {
	var problems []string
	rejectNegative := func(name string, value float64) {
		if value < 0 {
			problems = append(problems, name+" is negative")
		}
	}
	rejectNegative("limits.memory_mb", float64(s.Limits.MemoryMB))
	rejectNegative("limits.descriptors", float64(s.Limits.Descriptors))
	rejectNegative("bounds.drain_ms", float64(s.Bounds.DrainMillis))
	rejectNegative("bounds.apply_ms", float64(s.Bounds.ApplyMillis))
	rejectNegative("bounds.contact_ms", float64(s.Bounds.ContactMillis))
	rejectNegative("bounds.evacuate_ms", float64(s.Bounds.EvacuateMillis))
	rejectNegative("bounds.cold_factor", s.Bounds.ColdFactor)
	rejectNegative("bounds.cold_extra", s.Bounds.ColdExtra)
	rejectNegative("bounds.extra_ratio", s.Bounds.ExtraRatio)
	rejectNegative("bounds.extra", s.Bounds.Extra)
	rejectNegative("bounds.extra_window_s", s.Bounds.ExtraWindowSeconds)
	rejectNegative("bounds.revoke_ms", float64(s.Bounds.RevokeMillis))
	if problem := s.revocationProblem(); problem != "" {
		problems = append(problems, problem)
	}
	rejectNegative("bounds.quota_window_s", s.Bounds.LimitWindowSeconds)
	rejectNegative("bounds.quota_overshoot", s.Bounds.LimitOvershoot)
	rejectNegative("bounds.quota_slack", s.Bounds.LimitSlack)
	if s.Bounds.LimitWindowSeconds > 0 && s.Listen.Peers == "" {
		problems = append(problems, "bounds.quota_window_s needs listen.peers")
	}
	if s.Bounds.GraceSeconds <= 0 {
		problems = append(problems, "bounds.grace_s must be above 0")
	}
	return problems
}

// leaveGrace returns for how long after the node has learned that a server is leaving the server may
// still receive requests as the last one of its service.
func (s *Settings) leaveGrace() time.Duration {
	return time.Duration(s.Bounds.DrainMillis) * time.Millisecond / leaveGraceDivisor
}

// Limits of the staleness bound.
const (
	// stalenessReserve is subtracted from the time within which a change must take effect: it covers
	// a call that fails and is repeated through another node, and requests in flight.
	stalenessReserve = 2200 * time.Millisecond
	// maxStalenessBound limits the staleness bound even if the deployment allows more, so that new
	// servers are used soon. Readers receive changes as they happen; the bound limits how late a
	// silent loss of changes is noticed.
	maxStalenessBound = 4 * time.Second
)

// stalenessBound returns how old the node's copy of the store may be while the store answers. A node
// whose copy is older reads the store itself. If the deployment allows an older copy, a few nodes of
// a zone read the store for the others (directory.Role).
func (s *Settings) stalenessBound() time.Duration {
	shortestMillis := min(s.Bounds.ApplyMillis, s.Bounds.DrainMillis)
	if s.Bounds.EvacuateMillis > 0 {
		shortestMillis = min(shortestMillis, s.Bounds.EvacuateMillis)
	}
	if s.Bounds.RefuseUnconfirmedKeys {
		shortestMillis = min(shortestMillis, s.Bounds.RevokeMillis)
	}
	// Notes on requests that crash servers must reach all nodes within ContactMillis.
	if s.Bounds.ContactMillis > 0 {
		shortestMillis = min(shortestMillis, s.Bounds.ContactMillis)
	}
	bound := time.Duration(shortestMillis) * time.Millisecond
	return min(max(bound-stalenessReserve, directory.MinStalenessBound), maxStalenessBound)
}

// evacuationReserve is subtracted, in addition to the staleness bound, from the time within which a
// zone must be evacuated: it covers a paused process and requests in flight.
const evacuationReserve = time.Second

// evacuationSpan returns the span over which load is moved away from a zone after the node has
// learned of its evacuation.
func (s *Settings) evacuationSpan() time.Duration {
	bound := time.Duration(s.Bounds.EvacuateMillis) * time.Millisecond
	return max(0, bound-s.stalenessBound()-evacuationReserve)
}

// revocationReserve is subtracted from the time after which a removed key must be refused: nodes
// notify each other of the age of their copies, and a busy process handles the notifications late.
const revocationReserve = 500 * time.Millisecond

// revocationAge returns how old the node's copy of the keys may be if removed keys must be refused
// even while the store is unavailable.
func (s *Settings) revocationAge() time.Duration {
	return time.Duration(s.Bounds.RevokeMillis)*time.Millisecond - revocationReserve
}

// revocationProblem returns the problem of the revocation bound if the bound is in use, or an empty
// text. With a bound no longer than revocationReserve no copy of the keys would be fresh enough, and
// each request that needs a key would be refused.
func (s *Settings) revocationProblem() string {
	switch {
	case !s.Bounds.RefuseUnconfirmedKeys || s.Bounds.RevokeMillis < 0:
		return ""
	case s.Bounds.RevokeMillis == 0:
		return "bounds.strict_revoke needs bounds.revoke_ms"
	case s.revocationAge() <= 0:
		return fmt.Sprintf("bounds.revoke_ms must be above %d with bounds.strict_revoke: %d would refuse each request that needs a key, "+
			"since no copy of the keys is ever that fresh", revocationReserve.Milliseconds(), s.Bounds.RevokeMillis)
	}
	return ""
}

// warmUpBounds returns by how much the requests to a cold server may exceed what it can handle.
func (s *Settings) warmUpBounds() fleet.WarmUpBounds {
	return fleet.WarmUpBounds{Factor: s.Bounds.ColdFactor, Extra: s.Bounds.ColdExtra}
}

// quotaBounds returns by how much the requests of a tenant may exceed its limit.
func (s *Settings) quotaBounds() quota.Bounds {
	return quota.Bounds{
		Window:    time.Duration(s.Bounds.LimitWindowSeconds * float64(time.Second)),
		Overshoot: s.Bounds.LimitOvershoot, Slack: s.Bounds.LimitSlack,
	}
}

// lapsedEntryReturn is the time after an outage of the store within which entries that expired
// during it are written again, as the platform guarantees. An entry that is still missing afterwards
// belongs to a server that is gone. A node learns of the entries at most a stalenessBound later.
const lapsedEntryReturn = 2 * time.Second

// absenceUncertainSpan returns for how long after the end of an outage of the store a missing entry
// does not prove that its server is gone.
func (s *Settings) absenceUncertainSpan() time.Duration {
	contact := time.Duration(s.Bounds.ContactMillis)*time.Millisecond - contactReserve
	return max(0, min(contact, lapsedEntryReturn+s.stalenessBound()))
}

// writeBackSpan returns how long the operator and the servers may take to write back what the store
// lost when it was restored from an older copy.
func (s *Settings) writeBackSpan() time.Duration {
	return max(lapsedEntryReturn, s.absenceUncertainSpan())
}

// Shares of the machine's limits.
const (
	// memoryShare is the share of the memory beyond which garbage is collected whatever it costs in
	// processor time.
	memoryShare = 0.7
	// clientShare is the share of the descriptors for connections of clients; the rest is for
	// servers, the store, peers and files.
	clientShare = 0.5
)

// MemoryBytes returns the memory limit in bytes beyond which garbage is collected at once; zero for
// no limit.
func (s *Settings) MemoryBytes() int64 {
	return int64(memoryShare * s.memoryLimit())
}

// grace returns the time between the stop signal and the end of the process.
func (s *Settings) grace() time.Duration {
	return time.Duration(s.Bounds.GraceSeconds * float64(time.Second))
}
