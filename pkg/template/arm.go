package template

import (
	"github.com/cespare/xxhash/v2"
)

// ArmFor returns the experiment arm of a request. It depends only on the
// template's key, the experiment's name and the request id, so every node, and
// every attempt of the same request, gets the same arm. Requests outside every
// arm get an arm named ControlArm without policies of its own.
func (t *Template) ArmFor(requestID string) Arm {
	control := Arm{Name: ControlArm, Share: 1}
	if t.Experiment == nil {
		return control
	}
	point := t.experimentPoint(requestID)
	for _, arm := range t.Experiment.Arms {
		if point < arm.Share {
			return arm
		}
		point -= arm.Share
		control.Share -= arm.Share
	}
	return control
}

// experimentPoint maps a request to a uniform number from 0 to below 1.
func (t *Template) experimentPoint(requestID string) float64 {
	const mantissaBits = 53
	digest := xxhash.New()
	for _, part := range []string{t.Tenant, t.Name, t.Experiment.Name, requestID} {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.Write([]byte{0})  // nor does this
	}
	return float64(digest.Sum64()>>(64-mantissaBits)) / (1 << mantissaBits)
}
