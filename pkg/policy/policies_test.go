package policy_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

const ms = time.Millisecond

// mustBuild builds the policies of a specification and fails the test if it is invalid.
func mustBuild(spec policy.Spec) policy.Set {
	set, err := policy.Build(spec)
	Expect(err).NotTo(HaveOccurred())
	return set
}

// countChoices counts how often each candidate is chosen in 1,000 draws.
func countChoices(name string, candidates []policy.ReplicaState) []int {
	chooser := mustBuild(policy.Spec{Replica: policy.ReplicaSpec{Policy: name}}).Replica
	random := rand.New(rand.NewPCG(1, 2))
	counts := make([]int, len(candidates))
	for range 1000 {
		counts[chooser.Choose(candidates, random)]++
	}
	return counts
}

// replicaState returns a warm, idle replica in the local zone after applying change, if it is not nil.
func replicaState(change func(*policy.ReplicaState)) policy.ReplicaState {
	state := policy.ReplicaState{Limit: 5, Latency: 5 * ms, Weight: 1, ReportedLoad: -1}
	if change != nil {
		change(&state)
	}
	return state
}

var builtInReplicas = []string{policy.ReplicaRandom, policy.ReplicaLeastInFlight, policy.ReplicaTwoChoices}

var _ = Describe("Replica policies", func() {
	It("return -1 without candidates and 0 with one", func() {
		for _, name := range builtInReplicas {
			chooser := mustBuild(policy.Spec{Replica: policy.ReplicaSpec{Policy: name}}).Replica
			random := rand.New(rand.NewPCG(1, 2))
			Expect(chooser.Choose(nil, random)).To(Equal(-1), name)
			Expect(chooser.Choose([]policy.ReplicaState{replicaState(nil)}, random)).To(Equal(0), name)
		}
	})

	It("spread equal replicas evenly", func() {
		equal := []policy.ReplicaState{replicaState(nil), replicaState(nil), replicaState(nil), replicaState(nil)}
		for _, name := range builtInReplicas {
			Expect(countChoices(name, equal)).To(HaveEach(BeNumerically("~", 250, 60)), name)
		}
	})

	It("spread equally cold replicas evenly, as after a start of all servers of a service", func() {
		cold := func(s *policy.ReplicaState) { s.Weight = 0.05 }
		equal := []policy.ReplicaState{replicaState(cold), replicaState(cold), replicaState(cold), replicaState(cold)}
		for _, name := range builtInReplicas {
			Expect(countChoices(name, equal)).To(HaveEach(BeNumerically("~", 250, 60)), name)
		}
	})

	DescribeTable("prefer the better of two replicas",
		func(worse func(*policy.ReplicaState), names ...string) {
			for _, name := range names {
				counts := countChoices(name, []policy.ReplicaState{replicaState(worse), replicaState(nil)})
				Expect(counts[0]).To(BeZero(), name)
			}
		},
		Entry("fewer in flight", func(s *policy.ReplicaState) { s.InFlight = 1 }, "least_in_flight", "two_choices"),
		Entry("greater limit", func(s *policy.ReplicaState) { s.Limit = 1 }, "least_in_flight", "two_choices"),
		Entry("nearer", func(s *policy.ReplicaState) { s.ZoneDistance = 1 }, "least_in_flight", "two_choices"),
		Entry("faster", func(s *policy.ReplicaState) { s.Latency = 8 * ms }, "two_choices"),
		Entry("fewer failures", func(s *policy.ReplicaState) { s.FailureShare = 0.1 }, "two_choices"),
		Entry("less reported load", func(s *policy.ReplicaState) { s.ReportedLoad = 1 }, "two_choices"),
	)

	DescribeTable("give a cold replica work, but no more than its weight, even if it looks faster",
		func(weight float64, warm int) {
			candidates := []policy.ReplicaState{replicaState(func(s *policy.ReplicaState) { s.Weight, s.Latency = weight, 0 })}
			for range warm {
				candidates = append(candidates, replicaState(nil))
			}
			for _, name := range []string{policy.ReplicaLeastInFlight, policy.ReplicaTwoChoices} {
				cold := countChoices(name, candidates)[0]
				Expect(cold).To(BeNumerically(">", 0), name)
				Expect(cold).To(BeNumerically("<=", 1.3*weight*1000), name)
			}
		},
		Entry("just started, one other", 0.05, 1),
		Entry("just started, three others", 0.05, 3),
		Entry("a fifth warm, one other", 0.2, 1),
		Entry("half warm, three others", 0.5, 3),
	)

	It("do not let a misleading load report outweigh the observed latency", func() {
		misled := replicaState(func(s *policy.ReplicaState) { s.ReportedLoad = 0; s.Latency = 10 * ms })
		honest := replicaState(func(s *policy.ReplicaState) { s.ReportedLoad = 1 })
		Expect(countChoices("two_choices", []policy.ReplicaState{misled, honest})[0]).To(BeZero())
	})

	It("do not send everything to the best of many", func() {
		many := make([]policy.ReplicaState, 10)
		for index := range many {
			many[index] = replicaState(func(s *policy.ReplicaState) { s.Latency = time.Duration(10+index) * ms })
		}
		Expect(countChoices("two_choices", many)[0]).To(BeNumerically("~", 200, 50))
	})
})

var _ = Describe("Hedge policies", func() {
	observed := policy.HedgeObservation{
		Quantile: func(quantile float64) time.Duration {
			if quantile == 0.5 {
				return 5 * ms
			}
			return time.Duration(quantile * float64(20*ms))
		},
		Remaining: 80 * ms,
	}

	DescribeTable("decide",
		func(spec policy.HedgeSpec, remaining, wantDelay time.Duration, wantHedge bool) {
			observed.Remaining = remaining
			delay, hedge := mustBuild(policy.Spec{Hedge: spec}).Hedge.Delay(observed)
			Expect(hedge).To(Equal(wantHedge))
			if wantHedge {
				Expect(delay).To(Equal(wantDelay))
			}
		},
		Entry("none", policy.HedgeSpec{Policy: "none"}, 80*ms, 0*ms, false),
		Entry("fixed", policy.HedgeSpec{Policy: "fixed", Delay: policy.Duration(7 * ms)}, 80*ms, 7*ms, true),
		Entry("fixed, after the deadline", policy.HedgeSpec{Policy: "fixed", Delay: policy.Duration(7 * ms)}, 7*ms, 0*ms, false),
		Entry("quantile", policy.HedgeSpec{Policy: "quantile", Quantile: 0.9}, 80*ms, 18*ms, true),
		Entry("quantile, floor", policy.HedgeSpec{Policy: "quantile", Quantile: 0.1, Delay: policy.Duration(4 * ms)}, 80*ms, 4*ms, true),
		Entry("quantile, the median still fits", policy.HedgeSpec{Policy: "quantile", Quantile: 0.9}, 23*ms, 18*ms, true),
		Entry("quantile, the median no longer fits", policy.HedgeSpec{Policy: "quantile", Quantile: 0.9}, 22*ms, 0*ms, false),
	)

	DescribeTable("typical: leave the second server enough time to answer",
		func(useful, alternative, wantDelay time.Duration) {
			delay, hedge := mustBuild(policy.Spec{Hedge: policy.HedgeSpec{Policy: "typical", Factor: 2.5}}).Hedge.Delay(policy.HedgeObservation{
				Typical: 10 * ms, Network: 20 * ms, Remaining: time.Second, UsefulRemaining: useful, Alternative: alternative,
			})
			Expect(hedge).To(BeTrue())
			Expect(delay).To(Equal(wantDelay))
		},
		Entry("there is time", 200*ms, 20*ms, 45*ms),
		Entry("its time is unknown", 60*ms, 0*ms, 40*ms),
		Entry("it is far and needs a connection", 110*ms, 60*ms, 40*ms),
		Entry("it could not answer in time anyway", 60*ms, 2000*ms, 40*ms),
		Entry("the answer is already late", time.Nanosecond, 20*ms, 10*ms),
	)

	It("send none while too few latencies are known", func() {
		unknown := policy.HedgeObservation{Quantile: func(float64) time.Duration { return 0 }, Remaining: time.Second}
		_, hedge := mustBuild(policy.Spec{}).Hedge.Delay(unknown)
		Expect(hedge).To(BeFalse())
	})
})

var _ = Describe("Stop rules", func() {
	DescribeTable("decide",
		func(spec policy.StopSpec, progress policy.Progress, want policy.StopDecision) {
			progress.TotalWidth = 100
			got := mustBuild(policy.Spec{Stop: spec}).Stop.Decide(progress)
			if !want.Stop {
				got.Reason = ""
			}
			Expect(got).To(Equal(want))
		},
		Entry("all, one missing", policy.StopSpec{Policy: "all"},
			policy.Progress{CoveredWidth: 99, Records: 1000}, policy.StopDecision{}),
		Entry("all, complete", policy.StopSpec{Policy: "all"},
			policy.Progress{CoveredWidth: 100}, policy.StopDecision{Stop: true, Reason: policy.StopAllParts}),
		Entry("coverage, below", policy.StopSpec{Policy: "coverage", Coverage: 0.95, Grace: policy.Duration(5 * ms)},
			policy.Progress{CoveredWidth: 94, SinceCoverage: time.Hour}, policy.StopDecision{}),
		Entry("coverage, during the grace period", policy.StopSpec{Policy: "coverage", Coverage: 0.95, Grace: policy.Duration(5 * ms)},
			policy.Progress{CoveredWidth: 95, SinceCoverage: 2 * ms}, policy.StopDecision{Recheck: 3 * ms}),
		Entry("coverage, after the grace period", policy.StopSpec{Policy: "coverage", Coverage: 0.95, Grace: policy.Duration(5 * ms)},
			policy.Progress{CoveredWidth: 95, SinceCoverage: 5 * ms}, policy.StopDecision{Stop: true, Reason: policy.StopCoverage}),
		Entry("first, too few records", policy.StopSpec{Policy: "first", Records: 3},
			policy.Progress{Records: 2}, policy.StopDecision{}),
		Entry("first, enough records", policy.StopSpec{Policy: "first", Records: 3},
			policy.Progress{Records: 3}, policy.StopDecision{Stop: true, Reason: policy.StopFirstResults}),
		Entry("first, enough records but too little covered", policy.StopSpec{Policy: "first", Records: 3, Coverage: 0.5},
			policy.Progress{Records: 9, CoveredWidth: 49}, policy.StopDecision{}),
	)

	It("return the share at which the grace period starts", func() {
		spec := policy.StopSpec{Policy: "coverage", Coverage: 0.9}
		Expect(mustBuild(policy.Spec{Stop: spec}).Stop.TargetShare()).To(Equal(0.9))
		Expect(mustBuild(policy.Spec{}).Stop.TargetShare()).To(Equal(1.0))
	})
})

var _ = Describe("Admission policies", func() {
	busy := policy.AdmissionState{
		Class: policy.ClassInteractive, InFlight: 10, Limit: 10, Queued: 4, QueuedAhead: 4, QueuedSameClass: 4,
		DrainRate: 1000, TypicalService: 10 * ms, SlowService: 20 * ms, Remaining: 88 * ms,
	}

	DescribeTable("decide",
		func(name string, change func(*policy.AdmissionState), want policy.Verdict) {
			state := busy
			change(&state)
			spec := policy.AdmissionSpec{Policy: name, MaxQueued: 5}
			decision := mustBuild(policy.Spec{Admission: spec}).Admission.Decide(state)
			Expect(decision.Verdict).To(Equal(want))
			Expect(decision.RetryAfter > 0).To(Equal(want == policy.Refuse), "retry delay set only for a refusal")
		},
		Entry("unlimited", "unlimited", func(s *policy.AdmissionState) { s.Remaining = 0 }, policy.Admit),
		Entry("bounded, room in the queue", "bounded_queue", func(s *policy.AdmissionState) { s.Remaining = 0 }, policy.Queue),
		Entry("bounded, queue full", "bounded_queue", func(s *policy.AdmissionState) { s.QueuedSameClass = 5 }, policy.Refuse),
		Entry("bounded, below the limit", "bounded_queue", func(s *policy.AdmissionState) { s.InFlight = 9; s.QueuedAhead = 0 }, policy.Admit),
		Entry("deadline, the wait fits", "deadline_aware", func(s *policy.AdmissionState) {}, policy.Queue),
		Entry("deadline, the wait is too long", "deadline_aware", func(s *policy.AdmissionState) { s.DrainRate = 60 }, policy.Refuse),
		Entry("deadline, no time for a slow request", "deadline_aware", func(s *policy.AdmissionState) { s.Remaining = 22 * ms }, policy.Refuse),
		Entry("deadline, a burst may wait", "deadline_aware", func(s *policy.AdmissionState) {
			s.DrainRate, s.BacklogAge = 200, 50*ms
		}, policy.Queue),
		Entry("deadline, a standing queue is kept short", "deadline_aware", func(s *policy.AdmissionState) {
			s.DrainRate, s.BacklogAge = 200, 200*ms
		}, policy.Refuse),
		Entry("deadline, archive may wait in a standing queue", "deadline_aware", func(s *policy.AdmissionState) {
			s.DrainRate, s.BacklogAge, s.Class = 200, 200*ms, policy.ClassArchive
		}, policy.Queue),
		Entry("deadline, queue full", "deadline_aware", func(s *policy.AdmissionState) { s.QueuedSameClass = 5 }, policy.Refuse),
		Entry("deadline, nothing measured", "deadline_aware", func(s *policy.AdmissionState) { s.DrainRate = 0 }, policy.Queue),
		Entry("deadline, idle although the service was slow", "deadline_aware", func(s *policy.AdmissionState) {
			s.InFlight, s.Queued, s.QueuedAhead, s.TypicalService = 0, 0, 0, time.Second
		}, policy.Admit),
		Entry("deadline, room for a ticker", "deadline_aware", func(s *policy.AdmissionState) {
			s.Class, s.InFlight, s.QueuedAhead = policy.ClassTicker, 9, 0
		}, policy.Admit),
		Entry("deadline, archive leaves room for a ticker", "deadline_aware", func(s *policy.AdmissionState) {
			s.Class, s.InFlight, s.QueuedAhead = policy.ClassArchive, 9, 0
		}, policy.Queue),
	)

	It("return the time until the requests ahead have been served", func() {
		state := busy
		state.DrainRate = 50
		decision := mustBuild(policy.Spec{}).Admission.Decide(state)
		Expect(decision).To(Equal(policy.AdmissionDecision{Verdict: policy.Refuse, RetryAfter: 100 * ms}))
	})
})

var _ = Describe("Retry policies", func() {
	failed := policy.RetryState{
		Attempts: 1, Outcome: outcome.Unknown, Reason: outcome.ReasonConnectionLost,
		Remaining: 50 * ms, TypicalLatency: 8 * ms,
	}

	DescribeTable("decide",
		func(name string, change func(*policy.RetryState), want policy.RetryDecision) {
			state := failed
			change(&state)
			spec := policy.RetrySpec{Policy: name, MaxAttempts: 4}
			Expect(mustBuild(policy.Spec{Retry: spec}).Retry.Decide(state)).To(Equal(want))
		},
		Entry("none", "none", func(s *policy.RetryState) {}, policy.RetryDecision{}),
		Entry("immediate", "immediate", func(s *policy.RetryState) { s.Attempts = 3 }, policy.RetryDecision{Retry: true}),
		Entry("immediate, attempts used up", "immediate", func(s *policy.RetryState) { s.Attempts = 4 }, policy.RetryDecision{}),
		Entry("immediate, too late", "immediate", func(s *policy.RetryState) { s.Remaining = 0 }, policy.RetryDecision{}),
		Entry("deadline, first retry at once", "deadline_aware", func(s *policy.RetryState) {}, policy.RetryDecision{Retry: true}),
		Entry("deadline, second after a wait", "deadline_aware", func(s *policy.RetryState) { s.Attempts = 2 },
			policy.RetryDecision{Retry: true, Delay: 4 * ms}),
		Entry("deadline, third after a longer one", "deadline_aware", func(s *policy.RetryState) { s.Attempts = 3 },
			policy.RetryDecision{Retry: true, Delay: 12 * ms}),
		Entry("deadline, attempts used up", "deadline_aware", func(s *policy.RetryState) { s.Attempts = 4 }, policy.RetryDecision{}),
		Entry("deadline, no time for a typical answer", "deadline_aware", func(s *policy.RetryState) { s.Remaining = 7 * ms },
			policy.RetryDecision{}),
		Entry("deadline, the request itself is bad", "deadline_aware", func(s *policy.RetryState) { s.Reason = outcome.ReasonInvalid },
			policy.RetryDecision{}),
		Entry("deadline, shed", "deadline_aware", func(s *policy.RetryState) { s.Reason, s.Outcome = outcome.ReasonShed, outcome.NotRun },
			policy.RetryDecision{Retry: true}),
	)
})
