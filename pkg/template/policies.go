package template

import (
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// effectivePolicies lays the policies of an arm (or none) over those of the
// template and the defaults. A not-repeatable template has no hedges and waits
// for its one part, whatever the defaults are.
func (t *Template) effectivePolicies(own policy.Spec) policy.Spec {
	base := policy.Defaults()
	if t.NotRepeatable {
		base.Hedge = policy.HedgeSpec{Policy: policy.HedgeNone}
		base.Stop = policy.StopSpec{Policy: policy.StopRuleAll}
	}
	return policy.Merge(policy.Merge(base, t.Policies), own)
}

// checkPolicySpec adds the faults that package policy finds.
func checkPolicySpec(faults *faultList, path string, spec policy.Spec) {
	for _, fault := range policy.Validate(spec) {
		faults.add(join(path, fault.Path), "%s", fault.Message)
	}
}
