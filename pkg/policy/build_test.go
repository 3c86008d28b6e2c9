package policy_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// alwaysFirst is a custom policy as an embedding program registers it.
type alwaysFirst struct{}

func (alwaysFirst) Choose(candidates []policy.ReplicaState, _ *rand.Rand) int {
	return min(0, len(candidates)-1)
}

var _ = Describe("Build", func() {
	It("fills every empty field with its default", func() {
		Expect(policy.Validate(policy.Spec{})).To(BeEmpty())
		Expect(policy.Validate(policy.Defaults())).To(BeEmpty())
		set := mustBuild(policy.Spec{})
		Expect(set.ExtraLoad).To(Equal(policy.Defaults().ExtraLoad))
		for _, builtPolicy := range []any{set.Replica, set.Hedge, set.Stop, set.Admission, set.Retry} {
			Expect(builtPolicy).NotTo(BeNil())
		}
	})

	It("lists all invalid fields in one error, each with its path", func() {
		_, err := policy.Build(policy.Spec{
			Replica:   policy.ReplicaSpec{Policy: "best"},
			Hedge:     policy.HedgeSpec{Policy: "quantile", Quantile: 1.5, Delay: policy.Duration(-time.Second)},
			Stop:      policy.StopSpec{Policy: "coverage", Coverage: 2, Grace: policy.Duration(-1)},
			Admission: policy.AdmissionSpec{MaxQueued: -1},
			Retry:     policy.RetrySpec{MaxAttempts: 99},
			ExtraLoad: policy.ExtraLoadSpec{Share: -0.1, Burst: -1},
		})
		var errs policy.FieldErrors
		Expect(err).To(BeAssignableToTypeOf(errs))
		errs = err.(policy.FieldErrors)
		paths := make([]string, 0, len(errs))
		for _, field := range errs {
			paths = append(paths, field.Path)
			Expect(field.Message).NotTo(BeEmpty())
			Expect(err.Error()).To(ContainSubstring(field.Error()))
		}
		Expect(paths).To(ConsistOf("replica.policy", "hedge.quantile", "hedge.delay", "stop.coverage", "stop.grace",
			"admission.max_queued", "retry.max_attempts", "extra_load.share", "extra_load.burst"))
		Expect(errs[0].Message).To(ContainSubstring("least_in_flight, random, two_choices"))
	})

	It("requires a delay for a fixed hedge", func() {
		errs := policy.Validate(policy.Spec{Hedge: policy.HedgeSpec{Policy: "fixed"}})
		Expect(errs).To(HaveLen(1))
		Expect(errs[0].Path).To(Equal("hedge.delay"))
	})

	It("rejects NaN", func() {
		nan := 0.0
		nan /= nan
		errs := policy.Validate(policy.Spec{
			Hedge:     policy.HedgeSpec{Quantile: nan},
			Stop:      policy.StopSpec{Policy: "coverage", Coverage: nan},
			ExtraLoad: policy.ExtraLoadSpec{Share: nan},
		})
		Expect(errs).To(HaveLen(3))
	})

	It("builds registered custom policies by name", func() {
		policy.RegisterReplica("always_first", func(policy.ReplicaSpec) (policy.ReplicaChooser, policy.FieldErrors) {
			return alwaysFirst{}, nil
		})
		Expect(policy.Names(policy.KindReplica)).To(ContainElement("always_first"))
		Expect(mustBuild(policy.Spec{Replica: policy.ReplicaSpec{Policy: "always_first"}}).Replica).To(Equal(alwaysFirst{}))
		Expect(func() { policy.RegisterReplica("random", nil) }).To(Panic())
	})

	It("names at least a baseline and two more policies of each kind", func() {
		for _, kind := range policy.Kinds() {
			Expect(len(policy.Names(kind))).To(BeNumerically(">=", 3), string(kind))
		}
		Expect(policy.Names("other")).To(BeNil())
	})
})

var _ = Describe("Merge", func() {
	It("replaces a kind as a whole, and only if the override sets it", func() {
		base := policy.Spec{
			Hedge:     policy.HedgeSpec{Policy: "quantile", Quantile: 0.9, Delay: policy.Duration(time.Millisecond)},
			Retry:     policy.RetrySpec{Policy: "immediate", MaxAttempts: 2},
			ExtraLoad: policy.ExtraLoadSpec{Share: 0.1, Burst: 5},
		}
		override := policy.Spec{
			Hedge:     policy.HedgeSpec{Policy: "quantile", Quantile: 0.99},
			Retry:     policy.RetrySpec{MaxAttempts: 9},
			ExtraLoad: policy.ExtraLoadSpec{Burst: 50},
		}
		Expect(policy.Merge(base, override)).To(Equal(policy.Spec{
			Hedge:     policy.HedgeSpec{Policy: "quantile", Quantile: 0.99},
			Retry:     base.Retry,
			ExtraLoad: base.ExtraLoad,
		}))
		Expect(policy.Merge(base, policy.Spec{})).To(Equal(base))
		Expect(policy.Merge(policy.Spec{}, base)).To(Equal(base))
	})
})
