package edge

import (
	"sync"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Templates of routed deployments have this tenant. Their name is that of a
// route, or one of the names for all routes of a kind.
const (
	routeTenant  = "routes"
	gatheredName = "gathered"
	singleName   = "single"
)

// builtInRevision stands for the policies that are in force without a template.
const builtInRevision = 0

// Factors of the typical time of a sub-request after which a second server is asked.
const (
	// gatheredHedgeFactor is for requests that wait for the slowest of many shards: most of them
	// have a shard whose server is slowed down by its neighbours or pauses, and the wait for it
	// is most of what their callers wait (docs/design/uneven.md has the figures).
	gatheredHedgeFactor = 1.7
	// singleHedgeFactor is for requests to one server, few of which meet such a moment: asking
	// sooner doubles the work of many that are only a little longer than others.
	singleHedgeFactor = 2.5
)

// builtInSpec returns the policies without a template. The deployment's own bound on
// extra load holds whatever a template says.
func builtInSpec(hedgeFactor float64) policy.Spec {
	return policy.Spec{
		Hedge:     policy.HedgeSpec{Policy: policy.HedgeTypical, Factor: hedgeFactor},
		Stop:      policy.StopSpec{Policy: policy.StopRuleAll},
		Retry:     policy.RetrySpec{Policy: policy.RetryDeadlineAware, MaxAttempts: builtInAttempts},
		ExtraLoad: policy.ExtraLoadSpec{Share: 1},
	}
}

// builtInAttempts is beyond what routes allow, so that the route decides.
const builtInAttempts = 10

// policies keeps the templates in force. It implements front.Policies.
type policies struct {
	// builtInGathered and builtInSingle serve requests of many and of one service.
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

// apply puts a published template into force; a tombstone ends it.
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
func (p *policies) For(found *route.Route, requestID string) front.Policy {
	return p.forKind(found.Name, found.Gathered(), requestID)
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
