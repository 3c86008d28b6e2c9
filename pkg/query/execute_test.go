package query_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/latency"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// fixture holds a fake cluster and the options, policies and request that a spec adapts.
type fixture struct {
	cluster *fakeCluster
	budget  *fakeBudget
	options query.Options
	spec    policy.Spec
	request *query.Request
}

func newFixture() *fixture {
	f := &fixture{cluster: newFakeCluster(1, faults{}), budget: &fakeBudget{burst: 10}}
	f.options = query.Options{Client: f.cluster, Catalog: f.cluster, Limits: f.cluster, Budgets: f.budget}
	f.request = &query.Request{ID: "request", Limit: 5, Template: &template.Template{Service: service}}
	f.spec.Hedge.Policy, f.spec.Retry.Policy = policy.HedgeNone, policy.RetryNone
	return f
}

// addTwoGroups adds two groups of two servers, each for one half of the key space: s000 and s001,
// s002 and s003.
func (f *fixture) addTwoGroups(versions ...target.Version) *fixture {
	for i, keys := range keyspace.Split(2) {
		f.cluster.addGroup([]string{"low", "high"}[i], 2, versions, keys)
	}
	f.cluster.updateCatalog()
	return f
}

func (f *fixture) execute(partial query.PartialFunc) (*query.Answer, error) {
	policies, err := policy.Build(f.spec)
	Expect(err).NotTo(HaveOccurred())
	f.request.Policies = policies
	f.request.Deadline = time.Now().Add(100 * time.Millisecond)
	answer, err := query.New(f.options).Execute(context.Background(), f.request, partial)
	synctest.Wait() // all cancelled sub-requests have ended, so the cluster may be read without its mutex
	return answer, err
}

// expectAnswer checks that an answer is complete and correct.
func (f *fixture) expectAnswer(answer *query.Answer, version target.Version) {
	GinkgoHelper()
	Expect(answer.Version).To(Equal(version))
	Expect(answer.Coverage.Complete()).To(BeTrue())
	want := f.cluster.data.Evaluate(version, f.request.Query, []keyspace.Range{answer.Coverage.Requested}, f.request.Limit)
	Expect(answer.Records).To(Equal(want.Records))
	Expect(answer.ScoreSum).To(Equal(want.ScoreSum))
}

// refuse returns a script that refuses before it runs anything.
func refuse(reason outcome.Reason) script {
	return func(_ context.Context, request *backend.Request) (*backend.Response, error) {
		return nil, &outcome.Error{Step: "script", Peer: string(request.Target.Server), Outcome: outcome.NotRun, Reason: reason}
	}
}

// hang is a script that never answers.
func hang(ctx context.Context, request *backend.Request) (*backend.Response, error) {
	<-ctx.Done()
	return nil, &outcome.Error{Step: "script", Peer: string(request.Target.Server), Reason: outcome.ReasonDeadline}
}

// respond is a script that answers even if the sub-request is cancelled.
func (c *fakeCluster) respond(_ context.Context, request *backend.Request) (*backend.Response, error) {
	return c.evaluate(request, request.Target), nil
}

// lateCounter counts late answers.
type lateCounter struct {
	query.NopObserver
	count atomic.Int64
}

func (c *lateCounter) LateResponse(target.Service) { c.count.Add(1) }

// firstCandidate always chooses the first replica, to make the choice predictable.
type firstCandidate struct{}

func (firstCandidate) Choose([]policy.ReplicaState, *rand.Rand) int { return 0 }

func init() {
	policy.RegisterReplica("first_candidate", func(policy.ReplicaSpec) (policy.ReplicaChooser, policy.FieldErrors) {
		return firstCandidate{}, nil
	})
}

// delayed returns a script that waits before it runs the next one.
func delayed(wait time.Duration, next script) script {
	return func(ctx context.Context, request *backend.Request) (*backend.Response, error) {
		time.Sleep(wait)
		return next(ctx, request)
	}
}

var _ = Describe("Execute", func() {
	It("chooses the newest version that covers everything", inVirtualTime(func() {
		f := newFixture().addTwoGroups(4, 5)
		f.cluster.changeServer(0, func(server *catalog.Server) {
			server.Indexes = append(server.Indexes, backend.Index{Version: 6, Shards: server.Indexes[0].Shards})
		})
		f.cluster.updateCatalog()
		answer, err := f.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		f.expectAnswer(answer, 5)
	}))

	It("queries the child shards for the pieces of a range after a split", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		low := keyspace.Split(4)[:2]
		for i := range 2 {
			f.cluster.changeServer(i, func(server *catalog.Server) {
				server.Indexes = []backend.Index{{Version: 1, Shards: []backend.Shard{{Group: "child", Range: low[i]}}}}
			})
		}
		time.AfterFunc(50*time.Microsecond, f.cluster.updateCatalog)
		answer, err := f.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		f.expectAnswer(answer, 1)
		Expect(answer.Coverage.PartsTotal).To(Equal(2))
		Expect(answer.ExtraLoad).To(Equal(query.ExtraLoad{Primary: 2, Retries: 2, NotRun: 1}))
		Expect(f.budget.spent).To(BeZero())
	}))

	It("restarts on the newest version when the pinned one is retired", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		f.cluster.scripts["s002"] = delayed(3*time.Millisecond, refuse(outcome.ReasonVersionGone))
		f.cluster.scripts["s003"] = f.cluster.scripts["s002"]
		go func() {
			time.Sleep(3 * time.Millisecond)
			f.cluster.mutex.Lock()
			f.cluster.servers = nil
			f.cluster.mutex.Unlock()
			f.cluster.addGroup("quick", 1, []target.Version{2}, keyspace.Split(2)[0])
			f.cluster.addGroup("slow", 1, []target.Version{2}, keyspace.Split(2)[1])
			f.cluster.setScript("s001", delayed(20*time.Millisecond, f.cluster.respond))
			f.cluster.updateCatalog()
		}()
		var versions []target.Version
		var restarted []bool
		answer, err := f.execute(func(partial query.Partial) {
			versions = append(versions, partial.Version)
			restarted = append(restarted, partial.Restarted)
		})
		Expect(err).NotTo(HaveOccurred())
		f.expectAnswer(answer, 2)
		Expect(answer.Restarts).To(Equal(1))
		Expect(versions).To(Equal([]target.Version{1, 2}))
		Expect(restarted).To(Equal([]bool{false, true}))
	}))

	It("does not restart to bypass the retry policy", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		f.cluster.scripts["s000"] = refuse(outcome.ReasonShed)
		f.cluster.scripts["s001"] = refuse(outcome.ReasonShed)
		answer, err := f.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Restarts).To(BeZero())
		Expect(answer.StopReason).To(Equal(policy.StopExhausted))
		Expect(answer.Coverage.Missing).To(Equal([]keyspace.Range{keyspace.Split(2)[0]}))
		Expect(answer.ExtraLoad).To(Equal(query.ExtraLoad{Primary: 2, NotRun: 1, Refused: 1}))
	}))

	It("does not restart for a part that was given up", inVirtualTime(func() {
		f := newFixture()
		f.cluster.addGroup("low", 1, []target.Version{1}, keyspace.Split(2)[0])
		f.cluster.updateCatalog()
		f.cluster.scripts["s000"] = delayed(5*time.Millisecond, refuse(outcome.ReasonShed))
		time.AfterFunc(time.Millisecond, func() {
			f.cluster.changeServer(0, func(server *catalog.Server) {
				server.Indexes = append(server.Indexes, backend.Index{Version: 2, Shards: server.Indexes[0].Shards})
			})
			f.cluster.updateCatalog()
		})
		_, err := f.execute(nil)
		Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonShed))
		Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		Expect(f.cluster.calls).To(HaveLen(1))
	}))

	It("drops the answer of a replica that a hedge overtook", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		f.spec.Replica.Policy = "first_candidate"
		f.spec.Hedge = policy.HedgeSpec{Policy: policy.HedgeFixed, Delay: policy.Duration(10 * time.Millisecond)}
		f.cluster.scripts["s000"] = delayed(15*time.Millisecond, f.cluster.respond)
		f.cluster.scripts["s001"] = delayed(2*time.Millisecond, f.cluster.respond)
		f.cluster.scripts["s002"] = delayed(30*time.Millisecond, f.cluster.respond)
		f.cluster.scripts["s003"] = f.cluster.scripts["s002"]
		late := &lateCounter{}
		f.options.Observer = late
		answer, err := f.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		f.expectAnswer(answer, 1)
		Expect(answer.Elapsed).To(Equal(30 * time.Millisecond))
		Expect(answer.ExtraLoad.Hedges).To(Equal(2))
		Expect(late.count.Load()).To(Equal(int64(1)), "the overtaken answer arrived while the query was running")
		time.Sleep(time.Second)
		Expect(late.count.Load()).To(Equal(int64(2)), "the other part's hedge was answered after the query ended")
	}))

	It("hedges a frozen replica and reports it to the catalog", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		f.budget.burst = 100
		f.spec.Hedge = policy.HedgeSpec{Policy: policy.HedgeFixed, Delay: policy.Duration(10 * time.Millisecond)}
		f.cluster.scripts["s000"] = hang
		f.cluster.scripts["s002"] = hang
		tracker := latency.NewTracker()
		f.options.Latency = tracker
		var slowest time.Duration
		for range 12 {
			answer, err := f.execute(nil)
			Expect(err).NotTo(HaveOccurred())
			f.expectAnswer(answer, 1)
			slowest = max(slowest, answer.Elapsed)
		}
		Expect(slowest).To(BeNumerically(">", 10*time.Millisecond))
		Expect(slowest).To(BeNumerically("<", 20*time.Millisecond))
		Expect(f.cluster.reportedFailures["s000"]).To(ContainElement(outcome.ReasonDeadline))
		Expect(f.cluster.reportedFailures["s001"]).To(BeEmpty())
		Expect(tracker.Quantile(service, 1)).To(BeNumerically(">", 10*time.Millisecond), "the latency of overtaken sub-requests counts")
	}))

	It("sends no hedge without budget", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		f.budget.burst = 0
		f.spec.Hedge = policy.HedgeSpec{Policy: policy.HedgeFixed, Delay: policy.Duration(10 * time.Millisecond)}
		f.cluster.scripts["s000"] = hang
		f.cluster.scripts["s001"] = hang
		answer, err := f.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.ExtraLoad).To(Equal(query.ExtraLoad{Primary: 2}))
		Expect(answer.StopReason).To(Equal(policy.StopDeadline))
	}))

	It("reports at once that a request was refused everywhere, and when to retry", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		f.cluster.permitsPerServer = 0
		answer, err := f.execute(nil)
		Expect(answer).To(BeNil())
		var failure *outcome.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Outcome).To(Equal(outcome.NotRun))
		Expect(failure.Reason).To(Equal(outcome.ReasonOverloaded))
		Expect(failure.RetryAfter).To(Equal(time.Second))
		Expect(f.cluster.calls).To(BeEmpty())
		Expect(time.Until(f.request.Deadline)).To(BeNumerically(">", 90*time.Millisecond))
	}))

	It("returns no records below the minimum coverage", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		f.request.Template.MinimumCoverage = 0.9
		f.cluster.scripts["s000"] = refuse(outcome.ReasonShed)
		f.cluster.scripts["s001"] = refuse(outcome.ReasonShed)
		answer, err := f.execute(nil)
		Expect(answer).To(BeNil())
		var failure *query.CoverageError
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Failure.Reason).To(Equal(outcome.ReasonCoverageTooLow))
		Expect(failure.Failure.Outcome).To(Equal(outcome.Unknown))
		Expect(failure.Coverage.Share()).To(Equal(0.5))
		Expect(failure.Version).To(Equal(target.Version(1)))
	}))

	// A late answer to the first request would otherwise match a sub-request of the second.
	It("gives the sub-requests of two requests with one ID different numbers", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		policies, err := policy.Build(f.spec)
		Expect(err).NotTo(HaveOccurred())
		f.request.Policies = policies
		executor := query.New(f.options)
		for range 2 {
			f.request.Deadline = time.Now().Add(100 * time.Millisecond)
			_, err := executor.Execute(context.Background(), f.request, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		synctest.Wait()
		numbers := make(map[uint32]bool)
		for _, each := range f.cluster.calls {
			numbers[each.request.Attempt] = true
		}
		Expect(f.cluster.calls).To(HaveLen(4))
		Expect(numbers).To(HaveLen(4))
	}))

	Describe("of a not-repeatable request", func() {
		notRepeatable := func() *fixture {
			f := newFixture().addTwoGroups(1)
			f.request.Key, f.request.Payload = "group1/item1", []byte("tint")
			f.request.Template.NotRepeatable = true
			f.spec.Retry = policy.RetrySpec{Policy: policy.RetryImmediate, MaxAttempts: 4}
			f.spec.Hedge = policy.HedgeSpec{Policy: policy.HedgeFixed, Delay: policy.Duration(time.Millisecond)}
			return f
		}
		scriptAll := func(f *fixture, behaviour script) {
			for _, server := range f.cluster.servers {
				f.cluster.scripts[server.ID] = behaviour
			}
		}

		It("sends it to one server and reports outcome unknown when that server does not answer", inVirtualTime(func() {
			f := notRepeatable()
			scriptAll(f, hang)
			_, err := f.execute(nil)
			var failure *outcome.Error
			Expect(errors.As(err, &failure)).To(BeTrue())
			Expect(failure.Outcome).To(Equal(outcome.Unknown))
			Expect(failure.Reason).To(Equal(outcome.ReasonDeadline))
			Expect(f.cluster.calls).To(HaveLen(1))
			Expect(failure.Peer).To(Equal(string(f.cluster.calls[0].request.Target.Server)))
		}))

		It("retries after evidence that it did not run", inVirtualTime(func() {
			f := notRepeatable()
			shed := refuse(outcome.ReasonShed)
			scriptAll(f, func(ctx context.Context, request *backend.Request) (*backend.Response, error) {
				if request.Attempt < 3 {
					return shed(ctx, request)
				}
				return f.cluster.respond(ctx, request)
			})
			answer, err := f.execute(nil)
			Expect(err).NotTo(HaveOccurred())
			f.expectAnswer(answer, 1)
			Expect(answer.ExtraLoad).To(Equal(query.ExtraLoad{Primary: 1, Retries: 2, NotRun: 2, Refused: 2}))
		}))

		It("does not retry after an answer of the wrong version", inVirtualTime(func() {
			f := notRepeatable()
			scriptAll(f, func(_ context.Context, request *backend.Request) (*backend.Response, error) {
				wrong := request.Target
				wrong.Version++
				return f.cluster.evaluate(request, wrong), nil
			})
			_, err := f.execute(nil)
			Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
			Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonCorruptResponse))
			Expect(f.cluster.calls).To(HaveLen(1))
		}))
	})

	It("rejects a not-repeatable request without a key", inVirtualTime(func() {
		f := newFixture().addTwoGroups(1)
		f.request.Template.NotRepeatable = true
		_, err := f.execute(nil)
		Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonInvalid))
	}))
})
