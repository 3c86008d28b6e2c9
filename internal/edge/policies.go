package edge

import (
	"sync"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Templates of routed deployments belong to the tenant routeTenant. Their name is that of a route, or
// gatheredName or singleName for all routes of that kind.
const (
	routeTenant  = "routes"
	gatheredName = "gathered"
	singleName   = "single"
)

// builtInRevision is the revision of the policies that are in force without a template.
const builtInRevision = 0

// Hedge delays, as factors of the typical time of a sub-request.
const (
	// gatheredHedgeFactor is for requests that wait for the slowest of many shards: most of them
	// have a shard whose server is slowed down by its neighbours or pauses, and that shard makes up
	// most of their latency (docs/design/uneven.md has the figures).
	gatheredHedgeFactor = 1.7
	// singleHedgeFactor is for requests to one server, few of which meet a slow server: hedging
	// sooner would double the work of many requests that take only a little longer than others.
	singleHedgeFactor = 2.5
)

// builtInSpec returns the policies that apply without a template. The deployment's own bound on extra
// load applies whatever a template says.
func builtInSpec(hedgeFactor float64) policy.Spec {
	return policy.Spec{
		Hedge:     policy.HedgeSpec{Policy: policy.HedgeTypical, Factor: hedgeFactor},
		Stop:      policy.StopSpec{Policy: policy.StopRuleAll},
		Retry:     policy.RetrySpec{Policy: policy.RetryDeadlineAware, MaxAttempts: builtInAttempts},
		ExtraLoad: policy.ExtraLoadSpec{Share: 1},
	}
}

// builtInAttempts is above what routes allow, so that the limit of the route applies.
const builtInAttempts = 10

// policies holds the templates in force. It implements front.Policies and is safe for concurrent use.
type policies struct {
	// builtInGathered and builtInSingle apply to requests to many services and to one.
	builtInGathered, builtInSingle policy.Set

	mutex sync.RWMutex
	// compiled is guarded by mutex.
	compiled map[template.Key]*template.Compiled
}

func newPolicies() (*policies, error) {
	gathered, err := policy.Build(builtInSpec(gatheredHedgeFactor))
	if err != nil {
		return nil, err
	}
	single, err := policy.Build(builtInSpec(singleHedgeFactor))
	if err != nil {
		return nil, err
	}
	return &policies{builtInGathered: gathered, builtInSingle: single, compiled: make(map[template.Key]*template.Compiled)}, nil
}

// apply puts a published template into force; a tombstone removes it.
func (p *policies) apply(published *template.Published) error {
	key := published.Template.Key()
	if published.Template.Deleted {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.compiled, key)
		return nil
	}
	compiled, err := template.Compile(published.Template)
	if err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.compiled[key] = compiled
	return nil
}

// For implements front.Policies.
func (p *policies) For(matched *route.Route, requestID string) front.Policy {
	return p.forKind(matched.Name, matched.Gathered(), requestID)
}

// forKind returns the policy of a request by the name of its route.
func (p *policies) forKind(name string, isGathered bool, requestID string) front.Policy {
	compiled := p.find(name, isGathered)
	if compiled == nil {
		set := p.builtInSingle
		if isGathered {
			set = p.builtInGathered
		}
		return newPolicy("", builtInRevision, template.ControlArm, set, builtInAttempts)
	}
	arm, set := compiled.PoliciesFor(requestID)
	attempts := compiled.Template.Policies.Retry.MaxAttempts
	if arm.Policies.Retry.Policy != "" {
		attempts = arm.Policies.Retry.MaxAttempts
	}
	return newPolicy(compiled.Template.Key().String(), compiled.Template.Revision, arm.Name, set, attempts)
}

func newPolicy(name string, revision uint64, arm string, set policy.Set, attempts int) front.Policy {
	return front.Policy{
		Template: name, Revision: revision, Arm: arm, Hedge: set.Hedge, Stop: set.Stop,
		MaxAttempts: max(1, attempts), ExtraShare: set.ExtraLoad.Share,
	}
}

func (p *policies) find(name string, isGathered bool) *template.Compiled {
	kind := singleName
	if isGathered {
		kind = gatheredName
	}
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	if len(p.compiled) == 0 {
		return nil
	}
	if own := p.compiled[template.Key{Tenant: routeTenant, Name: name}]; own != nil {
		return own
	}
	return p.compiled[template.Key{Tenant: routeTenant, Name: kind}]
}
