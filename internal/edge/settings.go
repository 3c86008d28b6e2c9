// Package edge wires the node of a routed deployment: it follows the platform,
// serves clients through package front, and stops as planned.
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

// Settings of a node. Times are given in the unit that the name ends with.
type Settings struct {
	Node   NodeSettings      `json:"node"`
	Zones  map[string]string `json:"zones"`
	Listen ListenSettings    `json:"listen"`
	Store  StoreSettings     `json:"store"`
	Limits LimitSettings     `json:"limits"`
	Bounds BoundSettings     `json:"bounds"`
	Peers  []string          `json:"peers"`
}

// NodeSettings say which node this is and where it runs.
type NodeSettings struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	// FirstStart says that the whole system starts for the first time, all nodes within
	// seconds.
	FirstStart bool `json:"first_start"`
}

// ListenSettings are the addresses (ip:port) that the node listens on.
type ListenSettings struct {
	Clients string `json:"clients"`
	Ready   string `json:"ready"`
	// Peers is where other nodes ask; empty for nowhere.
	Peers string `json:"peers"`
	// PeersAdvertised is where other nodes reach that address; empty if it is the same.
	PeersAdvertised string `json:"peers_advertised"`
	// Metrics is the port on the node's address; zero for none.
	MetricsPort int `json:"metrics_port"`
}

// StoreSettings say where the platform's store is.
type StoreSettings struct {
	Address string `json:"address"`
}

// LimitSettings are the machine's limits; zero for none.
type LimitSettings struct {
	// MemoryMB is the memory, in MiB, beyond which the platform ends the process.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of files and sockets that it may open.
	Descriptors int `json:"descriptors"`
}

// BoundSettings are what the deployment promises.
type BoundSettings struct {
	// DrainMillis is how long a leaving server may still be asked.
	DrainMillis int `json:"drain_ms"`
	// ApplyMillis is how long after its acknowledgement a configuration may be
	// out of force; zero if unknown.
	ApplyMillis int `json:"apply_ms"`
	// ContactMillis is how long the platform must have answered until a node is
	// held to the other bounds.
	ContactMillis int `json:"contact_ms"`
	// GraceSeconds is the time between the stop signal and the end.
	GraceSeconds float64 `json:"grace_s"`
	// ExtraRatio and Extra bound the requests to a second server, over all
	// nodes and in each span of ExtraWindowSeconds.
	ExtraRatio         float64 `json:"extra_ratio"`
	Extra              float64 `json:"extra"`
	ExtraWindowSeconds float64 `json:"extra_window_s"`
	// EvacuateMillis is how long after its acknowledgement an evacuated zone's servers may
	// still be asked; zero if unknown.
	EvacuateMillis int `json:"evacuate_ms"`
	// ColdFactor times what a cold server bears in a second, and ColdExtra requests more, may
	// reach it; zero if unknown.
	ColdFactor float64 `json:"cold_factor"`
	ColdExtra  float64 `json:"cold_extra"`
	// RefuseUnconfirmedKeys asks to refuse requests that need a key while it cannot be
	// confirmed that what is known of keys is at most RevokeMillis old. Without it nodes
	// serve on with the keys that they know.
	RefuseUnconfirmedKeys bool `json:"strict_revoke"`
	RevokeMillis          int  `json:"revoke_ms"`
	// QuotaWindowSeconds is the span in which a tenant's requests over all nodes are counted;
	// zero if limits of tenants are not held. In each span there may be QuotaOvershoot times
	// more requests than the tenant's limit grants, and QuotaSlack beside.
	QuotaWindowSeconds float64 `json:"quota_window_s"`
	QuotaOvershoot     float64 `json:"quota_overshoot"`
	QuotaSlack         float64 `json:"quota_slack"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(content)
}

// ParseSettings checks settings and returns one error that names every field
// at fault.
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

// problems returns all faults of the settings, in their order.
func (s *Settings) problems() []string {
	problems := append(s.addressProblems(), s.boundProblems()...)
	if s.Listen.MetricsPort < 0 || s.Listen.MetricsPort > 65535 {
		problems = append(problems, "listen.metrics_port is not a port")
	}
	return problems
}

// addressProblems returns the faults of the names and addresses.
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

// boundProblems returns the faults of the limits and bounds.
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
	rejectNegative("bounds.quota_window_s", s.Bounds.QuotaWindowSeconds)
	rejectNegative("bounds.quota_overshoot", s.Bounds.QuotaOvershoot)
	rejectNegative("bounds.quota_slack", s.Bounds.QuotaSlack)
	if s.Bounds.QuotaWindowSeconds > 0 && s.Listen.Peers == "" {
		problems = append(problems, "bounds.quota_window_s needs listen.peers")
	}
	if s.Bounds.GraceSeconds <= 0 {
		problems = append(problems, "bounds.grace_s must be above 0")
	}
	return problems
}

// leaveGrace returns for how long after the news that a server leaves it may
// still be asked as the last one of its service.
func (s *Settings) leaveGrace() time.Duration {
	return time.Duration(s.Bounds.DrainMillis) * time.Millisecond / leaveGraceDivisor
}

// Constants of the age of news.
const (
	// stalenessReserve is kept of the time within which news must be in force: for a
	// call that fails and is made again by way of another node, and for requests
	// on their way.
	stalenessReserve = 2200 * time.Millisecond
	// maxStalenessBound bounds how old news may be however long the deployment
	// allows: new servers are to be used soon. Readers hear of changes as they happen;
	// the age bounds how late a silent loss of them is noticed.
	maxStalenessBound = 4 * time.Second
)

// stalenessBound returns how old news of the store may be while it answers. A node reads
// the store itself as soon as what it knows is older, and where the deployment
// allows older news, few nodes of a zone read for the others (directory.Role).
func (s *Settings) stalenessBound() time.Duration {
	shortestMillis := min(s.Bounds.ApplyMillis, s.Bounds.DrainMillis)
	if s.Bounds.EvacuateMillis > 0 {
		shortestMillis = min(shortestMillis, s.Bounds.EvacuateMillis)
	}
	if s.Bounds.RefuseUnconfirmedKeys {
		shortestMillis = min(shortestMillis, s.Bounds.RevokeMillis)
	}
	// Notes on requests that end servers are to be known at all nodes within it.
	if s.Bounds.ContactMillis > 0 {
		shortestMillis = min(shortestMillis, s.Bounds.ContactMillis)
	}
	bound := time.Duration(shortestMillis) * time.Millisecond
	return min(max(bound-stalenessReserve, directory.MinStalenessBound), maxStalenessBound)
}

// evacuationReserve is kept of the time in which a zone is to be evacuated, beside the age
// of news: for a process that stands still and for requests on their way.
const evacuationReserve = time.Second

// evacuationSpan returns the span in which the load leaves a zone after the news that it is
// to be evacuated.
func (s *Settings) evacuationSpan() time.Duration {
	bound := time.Duration(s.Bounds.EvacuateMillis) * time.Millisecond
	return max(0, bound-s.stalenessBound()-evacuationReserve)
}

// revocationReserve is kept of the time after which a removed key must be refused: nodes tell
// each other the age of their news, and a busy process is late to use it.
const revocationReserve = 500 * time.Millisecond

// revocationAge returns how old news of keys may be where removed keys must be refused even
// if the store cannot be asked.
func (s *Settings) revocationAge() time.Duration {
	return time.Duration(s.Bounds.RevokeMillis)*time.Millisecond - revocationReserve
}

// revocationProblem returns what is wrong with the bound on the age of keys where it has an
// effect; empty if nothing is. Within the reserve that is kept of it no news is new enough, so
// that each request that needs a key would be refused.
func (s *Settings) revocationProblem() string {
	switch {
	case !s.Bounds.RefuseUnconfirmedKeys || s.Bounds.RevokeMillis < 0:
		return ""
	case s.Bounds.RevokeMillis == 0:
		return "bounds.strict_revoke wants bounds.revoke_ms"
	case s.revocationAge() <= 0:
		return fmt.Sprintf("bounds.revoke_ms must be above %d with bounds.strict_revoke: %d would refuse each request that needs a key, "+
			"since news of keys is never that new", revocationReserve.Milliseconds(), s.Bounds.RevokeMillis)
	}
	return ""
}

// warmUpBounds returns how far the requests to a cold server may go beyond what it bears.
func (s *Settings) warmUpBounds() fleet.WarmUpBounds {
	return fleet.WarmUpBounds{Factor: s.Bounds.ColdFactor, Extra: s.Bounds.ColdExtra}
}

// quotaBounds returns how far the requests of a tenant may go beyond its limit.
func (s *Settings) quotaBounds() quota.Bounds {
	return quota.Bounds{
		Window:    time.Duration(s.Bounds.QuotaWindowSeconds * float64(time.Second)),
		Overshoot: s.Bounds.QuotaOvershoot, Slack: s.Bounds.QuotaSlack,
	}
}

// lapsedEntryReturn is within which time after the store's return the entries are
// back that lapsed while it was away, as the platform promises; one that is still
// missing then belongs to a server that is gone. A node hears of it a stalenessBound
// later at most.
const lapsedEntryReturn = 2 * time.Second

// absenceUncertainSpan returns for how long after the store has answered again an
// absence in it proves nothing.
func (s *Settings) absenceUncertainSpan() time.Duration {
	contact := time.Duration(s.Bounds.ContactMillis)*time.Millisecond - contactReserve
	return max(0, min(contact, lapsedEntryReturn+s.stalenessBound()))
}

// writeBackSpan returns how long the operator and the servers may take to write again what the store
// has lost when it comes back from an older copy.
func (s *Settings) writeBackSpan() time.Duration {
	return max(lapsedEntryReturn, s.absenceUncertainSpan())
}

// Shares of the machine's limits.
const (
	// memoryShare of the memory is what the heap may grow to before memory is
	// collected at any price in processor time.
	memoryShare = 0.7
	// clientShare of the descriptors is for clients' connections; the rest is
	// for servers, the store, peers and files.
	clientShare = 0.5
)

// MemoryBytes returns the memory from which on garbage is collected at once;
// zero for no bound.
func (s *Settings) MemoryBytes() int64 {
	return int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20))
}

// clientConnections returns how many connections of clients are kept at once;
// zero for no bound.
func (s *Settings) clientConnections() int {
	return int(clientShare * float64(s.Limits.Descriptors))
}

// grace returns the time between the stop signal and the end.
func (s *Settings) grace() time.Duration {
	return time.Duration(s.Bounds.GraceSeconds * float64(time.Second))
}
