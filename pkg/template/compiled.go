package template

import (
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// Compiled is a template with its policies built, ready to serve requests. It
// is immutable and safe for concurrent use.
type Compiled struct {
	// Template is the template with defaults filled in. It must not be changed.
	Template *Template
	sets     map[string]policy.Set
}

// Compile validates a template, fills in defaults and builds the policies of
// every arm. The template itself is not changed. A tombstone can't be compiled.
func Compile(t *Template) (*Compiled, error) {
	if t.Deleted {
		return nil, errors.Errorf("template %s is deleted", t.Key())
	}
	if err := t.Validate(); err != nil {
		return nil, errors.Wrapf(err, "template %s", t.Key())
	}
	effective := *t
	effective.Policies = t.effectivePolicies(policy.Spec{})
	if effective.Limit == 0 {
		effective.Limit = DefaultLimit
	}
	compiled := &Compiled{Template: &effective, sets: map[string]policy.Set{}}
	if err := compiled.build(ControlArm, effective.Policies); err != nil {
		return nil, err
	}
	if t.Experiment == nil {
		return compiled, nil
	}
	for _, arm := range t.Experiment.Arms {
		if err := compiled.build(arm.Name, t.effectivePolicies(arm.Policies)); err != nil {
			return nil, err
		}
	}
	return compiled, nil
}

func (c *Compiled) build(arm string, spec policy.Spec) error {
	set, err := policy.Build(spec)
	if err != nil {
		return errors.Wrapf(err, "build policies of template %s, arm %s", c.Template.Key(), arm)
	}
	c.sets[arm] = set
	return nil
}

// PoliciesFor returns the arm of a request with the arm's policies.
func (c *Compiled) PoliciesFor(requestID string) (Arm, policy.Set) {
	arm := c.Template.ArmFor(requestID)
	return arm, c.sets[arm.Name]
}

// Policies returns the policies of an arm by name, and whether it exists.
func (c *Compiled) Policies(arm string) (policy.Set, bool) {
	set, isKnown := c.sets[arm]
	return set, isKnown
}
