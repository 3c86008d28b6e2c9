package faultproxy

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// ErrNoRule means that there is no rule of that id.
var ErrNoRule = errors.New("no such rule")

// LinkConfig describes one link.
type LinkConfig struct {
	Name string `json:"name" yaml:"name"`
	// Listen is the address of the listener; port 0 for a free one.
	Listen   string `json:"listen" yaml:"listen"`
	Upstream string `json:"upstream" yaml:"upstream"`
	// Zone is the zone of the upstream, for selectors.
	Zone string `json:"zone,omitempty" yaml:"zone,omitempty"`
}

// LinkInfo is the state of one link.
type LinkInfo struct {
	// LinkConfig has the true listener address.
	LinkConfig
	Listening     bool   `json:"listening"`
	Connections   int    `json:"connections"`
	Accepted      uint64 `json:"accepted"`
	Resets        uint64 `json:"resets"`
	BytesToServer uint64 `json:"bytes_to_server"`
	BytesToClient uint64 `json:"bytes_to_client"`
}

// RuleInfo is a rule in force.
type RuleInfo struct {
	ID int `json:"id"`
	Rule
}

// Proxy is a set of links with the rules that act on them.
type Proxy struct {
	seed   uint64
	logger hclog.Logger

	// mutex guards the fields below.
	mutex  sync.Mutex
	links  []*link
	rules  []activeRule
	lastID int
	closed bool
}

// New makes a proxy without links. The seed determines all jitter.
func New(seed uint64, logger hclog.Logger) *Proxy {
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	return &Proxy{seed: seed, logger: logger.Named("faultproxy")}
}

// AddLink starts a link and returns the address of its listener.
func (p *Proxy) AddLink(config LinkConfig) (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return "", errors.New("proxy is closed")
	}
	added := newLink(config, p.seed+uint64(len(p.links)), p.logger)
	if err := added.open(); err != nil {
		return "", err
	}
	p.links = append(p.links, added)
	p.apply(added)
	return added.address(), nil
}

// AddRule puts a rule in force, for connections that are open too, and returns
// its id.
func (p *Proxy) AddRule(rule Rule) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	compiled, err := rule.compile(p.lastID + 1)
	if err != nil {
		return 0, err
	}
	p.lastID = compiled.id
	p.rules = append(p.rules, compiled)
	p.logger.Info("rule in force", "id", compiled.id, "link", rule.Link, "zone", rule.Zone, "source", rule.Source)
	p.applyAll()
	return compiled.id, nil
}

// RemoveRule ends a rule.
func (p *Proxy) RemoveRule(id int) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	index := slices.IndexFunc(p.rules, func(rule activeRule) bool { return rule.id == id })
	if index < 0 {
		return errors.Wrapf(ErrNoRule, "id %d", id)
	}
	p.rules = slices.Delete(p.rules, index, index+1)
	p.logger.Info("rule ended", "id", id)
	p.applyAll()
	return nil
}

// ClearRules ends every rule.
func (p *Proxy) ClearRules() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rules = nil
	p.applyAll()
}

// Rules lists the rules in force.
func (p *Proxy) Rules() []RuleInfo {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	infos := []RuleInfo{}
	for _, active := range p.rules {
		infos = append(infos, RuleInfo{ID: active.id, Rule: active.rule})
	}
	return infos
}

// Links lists the links.
func (p *Proxy) Links() []LinkInfo {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	infos := []LinkInfo{}
	for _, one := range p.links {
		infos = append(infos, one.info())
	}
	return infos
}

// Close cuts every connection and returns once nothing runs any more.
func (p *Proxy) Close() {
	p.mutex.Lock()
	p.closed = true
	links := p.links
	p.mutex.Unlock()
	for _, one := range links {
		one.shut()
	}
}

func (p *Proxy) applyAll() {
	for _, one := range p.links {
		p.apply(one)
	}
}

// apply gives a link the rules that concern it. The caller holds the mutex.
func (p *Proxy) apply(one *link) {
	var relevant []activeRule
	for _, rule := range p.rules {
		if rule.matchesLink(one.config) {
			relevant = append(relevant, rule)
		}
	}
	one.setRules(relevant)
}

// faultsFor combines the rules that match a source.
func faultsFor(rules []activeRule, source netip.Addr) Faults {
	var faults Faults
	for _, rule := range rules {
		if rule.matchesSource(source) {
			faults = combine(faults, rule.rule.Faults)
		}
	}
	return faults
}

// refusesAll reports whether a rule closes the listener.
func refusesAll(rules []activeRule) bool {
	return slices.ContainsFunc(rules, func(rule activeRule) bool { return rule.rule.Faults.Refuse })
}
