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

// bench is a world with an executor and a request that specs adapt.
type bench struct {
	world   *world
	budget  *ledger
	options query.Options
	spec    policy.Spec
	request *query.Request
}

func newBench() *bench {
	b := &bench{world: newWorld(1, faults{}), budget: &ledger{burst: 10}}
	b.options = query.Options{Client: b.world, Catalog: b.world, Limits: b.world, Budgets: b.budget}
	b.request = &query.Request{ID: "request", Limit: 5, Template: &template.Template{Service: service}}
	b.spec.Hedge.Policy, b.spec.Retry.Policy = policy.HedgeNone, policy.RetryNone
	return b
}

// halves adds two groups of two servers: s000 and s001, s002 and s003.
func (b *bench) halves(versions ...target.Version) *bench {
	for i, keys := range keyspace.Split(2) {
		b.world.addGroup([]string{"low", "high"}[i], 2, versions, keys)
	}
	b.world.refresh()
	return b
}

func (b *bench) execute(partial query.PartialFunc) (*query.Answer, error) {
	policies, err := policy.Build(b.spec)
	Expect(err).NotTo(HaveOccurred())
	b.request.Policies = policies
	b.request.Deadline = time.Now().Add(100 * time.Millisecond)
	answer, err := query.New(b.options).Execute(context.Background(), b.request, partial)
	synctest.Wait() // cancelled sub-requests have ended: the world may be read
	return answer, err
}

// expectAnswer checks that an answer is complete and right.
func (b *bench) expectAnswer(answer *query.Answer, version target.Version) {
	GinkgoHelper()
	Expect(answer.Version).To(Equal(version))
	Expect(answer.Coverage.Complete()).To(BeTrue())
	want := b.world.data.Evaluate(version, b.request.Query, []keyspace.Range{answer.Coverage.Requested}, b.request.Limit)
	Expect(answer.Records).To(Equal(want.Records))
	Expect(answer.ScoreSum).To(Equal(want.ScoreSum))
}

// refuse is a script that refuses before it runs anything.
func refuse(reason outcome.Reason) script {
	return func(_ context.Context, request *backend.Request) (*backend.Response, error) {
		return nil, &outcome.Error{Step: "script", Peer: string(request.Target.Server), Outcome: outcome.NotRun, Reason: reason}
	}
}

// freeze is a script that never answers.
func freeze(ctx context.Context, request *backend.Request) (*backend.Response, error) {
	<-ctx.Done()
	return nil, &outcome.Error{Step: "script", Peer: string(request.Target.Server), Reason: outcome.ReasonDeadline}
}

// respond is a script that answers, cancelled or not.
func (w *world) respond(_ context.Context, request *backend.Request) (*backend.Response, error) {
	return w.answer(request, request.Target), nil
}

// lateCounter counts late answers.
type lateCounter struct {
	query.NopObserver
	count atomic.Int64
}

func (c *lateCounter) LateResponse(target.Service) { c.count.Add(1) }

// firstCandidate makes the choice of a replica predictable.
type firstCandidate struct{}

func (firstCandidate) Choose([]policy.ReplicaState, *rand.Rand) int { return 0 }

func init() {
	policy.RegisterReplica("first_candidate", func(policy.ReplicaSpec) (policy.ReplicaChooser, policy.FieldErrors) {
		return firstCandidate{}, nil
	})
}

// after delays a script.
func after(wait time.Duration, next script) script {
	return func(ctx context.Context, request *backend.Request) (*backend.Response, error) {
		time.Sleep(wait)
		return next(ctx, request)
	}
}

var _ = Describe("Execute", func() {
	It("chooses the newest version that covers everything", inVirtualTime(func() {
		b := newBench().halves(4, 5)
		b.world.change(0, func(server *catalog.Server) {
			server.Indexes = append(server.Indexes, backend.Index{Version: 6, Shards: server.Indexes[0].Shards})
		})
		b.world.refresh()
		answer, err := b.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		b.expectAnswer(answer, 5)
	}))

	It("takes the pieces of a range from the children after a split", inVirtualTime(func() {
		b := newBench().halves(1)
		low := keyspace.Split(4)[:2]
		for i := range 2 {
			b.world.change(i, func(server *catalog.Server) {
				server.Indexes = []backend.Index{{Version: 1, Shards: []backend.Shard{{Group: "child", Range: low[i]}}}}
			})
		}
		time.AfterFunc(50*time.Microsecond, b.world.refresh)
		answer, err := b.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		b.expectAnswer(answer, 1)
		Expect(answer.Coverage.PartsTotal).To(Equal(2))
		Expect(answer.ExtraLoad).To(Equal(query.ExtraLoad{Primary: 2, Retries: 2, NotRun: 1}))
		Expect(b.budget.spent).To(BeZero())
	}))

	It("starts anew on the newest version when the pinned one is retired", inVirtualTime(func() {
		b := newBench().halves(1)
		b.world.scripts["s002"] = after(3*time.Millisecond, refuse(outcome.ReasonVersionGone))
		b.world.scripts["s003"] = b.world.scripts["s002"]
		go func() {
			time.Sleep(3 * time.Millisecond)
			b.world.mutex.Lock()
			b.world.servers = nil
			b.world.mutex.Unlock()
			b.world.addGroup("quick", 1, []target.Version{2}, keyspace.Split(2)[0])
			b.world.addGroup("slow", 1, []target.Version{2}, keyspace.Split(2)[1])
			b.world.setScript("s001", after(20*time.Millisecond, b.world.respond))
			b.world.refresh()
		}()
		var versions []target.Version
		var restarted []bool
		answer, err := b.execute(func(early query.Partial) {
			versions = append(versions, early.Version)
			restarted = append(restarted, early.Restarted)
		})
		Expect(err).NotTo(HaveOccurred())
		b.expectAnswer(answer, 2)
		Expect(answer.Restarts).To(Equal(1))
		Expect(versions).To(Equal([]target.Version{1, 2}))
		Expect(restarted).To(Equal([]bool{false, true}))
	}))

	It("does not start anew to get round the retry policy", inVirtualTime(func() {
		b := newBench().halves(1)
		b.world.scripts["s000"] = refuse(outcome.ReasonShed)
		b.world.scripts["s001"] = refuse(outcome.ReasonShed)
		answer, err := b.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Restarts).To(BeZero())
		Expect(answer.StopReason).To(Equal(policy.StopExhausted))
		Expect(answer.Coverage.Missing).To(Equal([]keyspace.Range{keyspace.Split(2)[0]}))
		Expect(answer.ExtraLoad).To(Equal(query.ExtraLoad{Primary: 2, NotRun: 1, Refused: 1}))
	}))

	It("does not start anew for a part that was given up", inVirtualTime(func() {
		b := newBench()
		b.world.addGroup("low", 1, []target.Version{1}, keyspace.Split(2)[0])
		b.world.refresh()
		b.world.scripts["s000"] = after(5*time.Millisecond, refuse(outcome.ReasonShed))
		time.AfterFunc(time.Millisecond, func() {
			b.world.change(0, func(server *catalog.Server) {
				server.Indexes = append(server.Indexes, backend.Index{Version: 2, Shards: server.Indexes[0].Shards})
			})
			b.world.refresh()
		})
		_, err := b.execute(nil)
		Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonShed))
		Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		Expect(b.world.calls).To(HaveLen(1))
	}))

	It("drops the answer of a replica that a hedge outran", inVirtualTime(func() {
		b := newBench().halves(1)
		b.spec.Replica.Policy = "first_candidate"
		b.spec.Hedge = policy.HedgeSpec{Policy: policy.HedgeFixed, Delay: policy.Duration(10 * time.Millisecond)}
		b.world.scripts["s000"] = after(15*time.Millisecond, b.world.respond)
		b.world.scripts["s001"] = after(2*time.Millisecond, b.world.respond)
		b.world.scripts["s002"] = after(30*time.Millisecond, b.world.respond)
		b.world.scripts["s003"] = b.world.scripts["s002"]
		late := &lateCounter{}
		b.options.Observer = late
		answer, err := b.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		b.expectAnswer(answer, 1)
		Expect(answer.Elapsed).To(Equal(30 * time.Millisecond))
		Expect(answer.ExtraLoad.Hedges).To(Equal(2))
		Expect(late.count.Load()).To(Equal(int64(1)), "the outrun answer came while the query ran")
		time.Sleep(time.Second)
		Expect(late.count.Load()).To(Equal(int64(2)), "the hedge of the other part came after its end")
	}))

	It("hedges a frozen replica and tells the catalog of it", inVirtualTime(func() {
		b := newBench().halves(1)
		b.budget.burst = 100
		b.spec.Hedge = policy.HedgeSpec{Policy: policy.HedgeFixed, Delay: policy.Duration(10 * time.Millisecond)}
		b.world.scripts["s000"] = freeze
		b.world.scripts["s002"] = freeze
		tracker := latency.NewTracker()
		b.options.Latency = tracker
		var slowest time.Duration
		for range 12 {
			answer, err := b.execute(nil)
			Expect(err).NotTo(HaveOccurred())
			b.expectAnswer(answer, 1)
			slowest = max(slowest, answer.Elapsed)
		}
		Expect(slowest).To(BeNumerically(">", 10*time.Millisecond))
		Expect(slowest).To(BeNumerically("<", 20*time.Millisecond))
		Expect(b.world.reported["s000"]).To(ContainElement(outcome.ReasonDeadline))
		Expect(b.world.reported["s001"]).To(BeEmpty())
		Expect(tracker.Quantile(service, 1)).To(BeNumerically(">", 10*time.Millisecond), "outrun waits count")
	}))

	It("sends no hedge that the budget does not pay for", inVirtualTime(func() {
		b := newBench().halves(1)
		b.budget.burst = 0
		b.spec.Hedge = policy.HedgeSpec{Policy: policy.HedgeFixed, Delay: policy.Duration(10 * time.Millisecond)}
		b.world.scripts["s000"] = freeze
		b.world.scripts["s001"] = freeze
		answer, err := b.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.ExtraLoad).To(Equal(query.ExtraLoad{Primary: 2}))
		Expect(answer.StopReason).To(Equal(policy.StopDeadline))
	}))

	It("says at once that a request was refused everywhere, and when to retry", inVirtualTime(func() {
		b := newBench().halves(1)
		b.world.perServer = 0
		answer, err := b.execute(nil)
		Expect(answer).To(BeNil())
		var failure *outcome.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Outcome).To(Equal(outcome.NotRun))
		Expect(failure.Reason).To(Equal(outcome.ReasonOverloaded))
		Expect(failure.RetryAfter).To(Equal(time.Second))
		Expect(b.world.calls).To(BeEmpty())
		Expect(time.Until(b.request.Deadline)).To(BeNumerically(">", 90*time.Millisecond))
	}))

	It("gives no records below the minimum coverage", inVirtualTime(func() {
		b := newBench().halves(1)
		b.request.Template.MinimumCoverage = 0.9
		b.world.scripts["s000"] = refuse(outcome.ReasonShed)
		b.world.scripts["s001"] = refuse(outcome.ReasonShed)
		answer, err := b.execute(nil)
		Expect(answer).To(BeNil())
		var failure *query.CoverageError
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Failure.Reason).To(Equal(outcome.ReasonCoverageTooLow))
		Expect(failure.Failure.Outcome).To(Equal(outcome.Unknown))
		Expect(failure.Coverage.Share()).To(Equal(0.5))
		Expect(failure.Version).To(Equal(target.Version(1)))
	}))

	Describe("of a not-repeatable request", func() {
		notRepeatable := func() *bench {
			b := newBench().halves(1)
			b.request.Key, b.request.Payload = "group1/item1", []byte("tint")
			b.request.Template.NotRepeatable = true
			b.spec.Retry = policy.RetrySpec{Policy: policy.RetryImmediate, MaxAttempts: 4}
			b.spec.Hedge = policy.HedgeSpec{Policy: policy.HedgeFixed, Delay: policy.Duration(time.Millisecond)}
			return b
		}
		scriptAll := func(b *bench, behaviour script) {
			for _, server := range b.world.servers {
				b.world.scripts[server.ID] = behaviour
			}
		}

		It("sends it to one server and answers unknown when that is lost", inVirtualTime(func() {
			b := notRepeatable()
			scriptAll(b, freeze)
			_, err := b.execute(nil)
			var failure *outcome.Error
			Expect(errors.As(err, &failure)).To(BeTrue())
			Expect(failure.Outcome).To(Equal(outcome.Unknown))
			Expect(failure.Reason).To(Equal(outcome.ReasonDeadline))
			Expect(b.world.calls).To(HaveLen(1))
			Expect(failure.Peer).To(Equal(string(b.world.calls[0].request.Target.Server)))
		}))

		It("tries again after evidence that it did not run", inVirtualTime(func() {
			b := notRepeatable()
			shed := refuse(outcome.ReasonShed)
			scriptAll(b, func(ctx context.Context, request *backend.Request) (*backend.Response, error) {
				if request.Attempt < 3 {
					return shed(ctx, request)
				}
				return b.world.respond(ctx, request)
			})
			answer, err := b.execute(nil)
			Expect(err).NotTo(HaveOccurred())
			b.expectAnswer(answer, 1)
			Expect(answer.ExtraLoad).To(Equal(query.ExtraLoad{Primary: 1, Retries: 2, NotRun: 2, Refused: 2}))
		}))

		It("does not try again after an answer of the wrong version", inVirtualTime(func() {
			b := notRepeatable()
			scriptAll(b, func(_ context.Context, request *backend.Request) (*backend.Response, error) {
				wrong := request.Target
				wrong.Version++
				return b.world.answer(request, wrong), nil
			})
			_, err := b.execute(nil)
			Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
			Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonCorruptResponse))
			Expect(b.world.calls).To(HaveLen(1))
		}))
	})

	It("rejects a not-repeatable request without a key", inVirtualTime(func() {
		b := newBench().halves(1)
		b.request.Template.NotRepeatable = true
		_, err := b.execute(nil)
		Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonInvalid))
	}))
})
