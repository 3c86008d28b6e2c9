package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// collector keeps every exchange.
type collector struct {
	mutex     sync.Mutex
	exchanges []*Exchange
}

func (c *collector) Observe(exchange *Exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.exchanges = append(c.exchanges, exchange)
}

func answerFor(r *http.Request) api.Answer {
	return api.Answer{
		RequestID: r.Header.Get(api.HeaderRequestID),
		Outcome:   outcome.Completed,
		Arm:       "tuned",
		Coverage:  api.Coverage{Complete: true, Share: 1, Asked: keyspace.Full},
		ExtraLoad: api.ExtraLoad{Primary: 4, Hedges: 1, Ratio: 0.25},
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	Expect(json.NewEncoder(w).Encode(body)).To(Succeed())
}

func refuse(w http.ResponseWriter) {
	writeJSON(w, http.StatusTooManyRequests, api.Problem{
		Status: http.StatusTooManyRequests, Outcome: outcome.NotRun,
		Reason: outcome.ReasonOverloaded, RetryAfterMS: 1, Detail: "full",
	})
}

func baseOptions(handler http.HandlerFunc) (Options, *collector) {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	seen := &collector{}
	return Options{
		Targets:  []string{server.URL},
		Mix:      []TemplateLoad{{Tenant: "valgsok", Template: "tally", Queries: []string{"group1/", "group2/"}}},
		Steps:    []Step{{Rate: 1000, Duration: policy.Duration(50 * time.Millisecond)}},
		Arrivals: ArrivalsConstant,
		Seed:     7,
		Observer: seen,
	}, seen
}

func arrivalsOf(options Options) []arrival {
	s := newSchedule(options, rand.New(rand.NewPCG(options.Seed, arrivalStream)))
	var all []arrival
	for {
		next, more := s.following()
		if !more {
			return all
		}
		all = append(all, next)
	}
}

var _ = Describe("the schedule", func() {
	steps := []Step{
		{Rate: 100, Duration: policy.Duration(time.Second)},
		{Rate: 200, Duration: policy.Duration(time.Second)},
	}

	It("sends at the rate of each step, warm-up first", func() {
		all := arrivalsOf(Options{Steps: steps, Arrivals: ArrivalsConstant, Warmup: time.Second})
		counts := map[int]int{}
		for _, each := range all {
			counts[each.step]++
		}
		Expect(counts).To(Equal(map[int]int{warmupStep: 99, 0: 99, 1: 199}))
	})

	It("repeats Poisson arrivals for a seed and differs for another", func() {
		first := arrivalsOf(Options{Steps: steps, Arrivals: ArrivalsPoisson, Seed: 1})
		Expect(arrivalsOf(Options{Steps: steps, Arrivals: ArrivalsPoisson, Seed: 1})).To(Equal(first))
		Expect(arrivalsOf(Options{Steps: steps, Arrivals: ArrivalsPoisson, Seed: 2})).NotTo(Equal(first))
		Expect(len(first)).To(BeNumerically("~", 300, 70))
	})
})

var _ = Describe("Run", func() {
	It("counts answers by arm, with their coverage and extra load", func(ctx SpecContext) {
		options, seen := baseOptions(func(w http.ResponseWriter, r *http.Request) {
			writeJSON(w, http.StatusOK, answerFor(r))
		})
		result, err := Run(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Offered).To(Equal(int64(49)))
		arm, found := result.Arm("tuned")
		Expect(found).To(BeTrue())
		Expect(arm.Answered).To(Equal(int64(49)))
		Expect(arm.Useful).To(Equal(int64(49)))
		Expect(arm.Coverage.Complete).To(Equal(int64(49)))
		Expect(arm.ExtraLoad).To(Equal(ExtraLoadSummary{Primary: 196, Hedges: 49, Ratio: 0.25}))
		ids := map[string]bool{}
		for _, exchange := range seen.exchanges {
			ids[exchange.RequestID] = true
		}
		Expect(ids).To(HaveLen(49))
	})

	It("counts the latency from the intended send time", func() {
		intended := time.Unix(100, 0)
		done := finished{intended: intended, last: &Exchange{
			Sent: intended.Add(2 * time.Second), Finished: intended.Add(3 * time.Second),
		}}
		Expect(done.latency()).To(Equal(3 * time.Second))
		Expect(done.answerLatency()).To(Equal(3 * time.Second))
		done.exchanges = 2
		Expect(done.answerLatency()).To(Equal(time.Second))
	})

	It("takes the rate of useful answers from those that came in the time of the steps", func() {
		start := time.Unix(100, 0)
		recorder := newRecorder("only", window{start: start, duration: 2 * time.Second})
		answered := func(step int, intended, finishedAt time.Duration) finished {
			return finished{
				request:  &Request{Load: &TemplateLoad{}, step: step},
				intended: start.Add(intended), exchanges: 1,
				last: &Exchange{Finished: start.Add(finishedAt), Answer: &api.Answer{Coverage: api.Coverage{Share: 1}}},
			}
		}
		recorder.finish(answered(warmupStep, -time.Second, -500*time.Millisecond))
		recorder.finish(answered(warmupStep, -time.Second, time.Second))
		recorder.finish(answered(0, time.Second, 1500*time.Millisecond))
		recorder.finish(answered(0, time.Second, 3*time.Second))
		var result Result
		recorder.fill(&result)
		arm, _ := result.Arm("only")
		Expect(arm.Useful).To(Equal(int64(2)))
		Expect(arm.UsefulRate).To(Equal(1.0))
	})

	It("does not wait for answers, and counts what it may not send", func(ctx SpecContext) {
		release := make(chan struct{})
		options, _ := baseOptions(func(w http.ResponseWriter, r *http.Request) {
			<-release
			writeJSON(w, http.StatusOK, answerFor(r))
		})
		options.MaxOutstanding = 3
		time.AfterFunc(200*time.Millisecond, func() { close(release) })
		result, err := Run(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Offered).To(Equal(int64(49)))
		Expect(result.NotSent).To(Equal(int64(46)))
	})

	DescribeTable("after a refusal", func(ctx SpecContext, honour bool, answered, refused int64, attempts float64) {
		var mutex sync.Mutex
		refusedOnce := map[string]bool{}
		options, _ := baseOptions(func(w http.ResponseWriter, r *http.Request) {
			request, _, _ := cutLast(r.Header.Get(api.HeaderRequestID))
			mutex.Lock()
			again := refusedOnce[request]
			refusedOnce[request] = true
			mutex.Unlock()
			if !again {
				refuse(w)
				return
			}
			writeJSON(w, http.StatusOK, answerFor(r))
		})
		options.HonourRetryAfter = honour
		options.Arm = "only"
		result, err := Run(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		arm, _ := result.Arm("only")
		Expect(arm.Answered).To(Equal(answered))
		Expect(arm.Refused).To(Equal(refused))
		Expect(arm.Attempts).To(Equal(attempts))
		if refused > 0 {
			Expect(result.Series[0].Samples).To(HaveLen(maxSamples))
			Expect(result.Series[0].Samples[0].Text).To(Equal("full"))
		}
	},
		Entry("comes back when it honours Retry-After", true, int64(49), int64(0), 2.0),
		Entry("gives up when it does not", false, int64(0), int64(49), 1.0),
	)

	It("takes the first partial of a stream, and its last line as the result", func(ctx SpecContext) {
		options, seen := baseOptions(func(w http.ResponseWriter, r *http.Request) {
			answer := answerFor(r)
			encoder := json.NewEncoder(w)
			Expect(encoder.Encode(api.Event{Type: api.EventPartial, Partial: partialOf(&answer)})).To(Succeed())
			Expect(encoder.Encode(api.Event{Type: api.EventAnswer, Answer: &answer})).To(Succeed())
		})
		options.Mix[0].Stream = true
		result, err := Run(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		arm, _ := result.Arm("tuned")
		Expect(arm.FirstPartial.Count).To(Equal(int64(49)))
		Expect(seen.exchanges[0].Events).To(HaveLen(1))
	})

	It("calls a stream that ends without a result unknown", func(ctx SpecContext) {
		options, seen := baseOptions(func(w http.ResponseWriter, r *http.Request) {
			answer := answerFor(r)
			Expect(json.NewEncoder(w).Encode(api.Event{Type: api.EventPartial, Partial: partialOf(&answer)})).To(Succeed())
		})
		options.Mix[0].Stream = true
		_, err := Run(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.exchanges[0].Err).To(HaveOccurred())
		Expect(seen.exchanges[0].Outcome()).To(Equal(outcome.Unknown))
	})

	It("sends the caller's repeat with the same idempotency key", func(ctx SpecContext) {
		var mutex sync.Mutex
		keys := map[string]int{}
		options, _ := baseOptions(func(w http.ResponseWriter, r *http.Request) {
			mutex.Lock()
			keys[r.Header.Get(api.HeaderIdempotencyKey)]++
			mutex.Unlock()
			writeJSON(w, http.StatusOK, answerFor(r))
		})
		options.Mix[0].NotRepeatable = true
		options.Mix[0].RepeatShare = 1
		_, err := Run(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys).To(HaveLen(49))
		Expect(keys).To(HaveEach(2))
	})

	It("calls a node that can't be reached not run", func(ctx SpecContext) {
		options, seen := baseOptions(func(http.ResponseWriter, *http.Request) {})
		closed := httptest.NewServer(http.NotFoundHandler())
		closed.Close()
		options.Targets = []string{closed.URL}
		_, err := Run(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.exchanges[0].Outcome()).To(Equal(outcome.NotRun))
		Expect(seen.exchanges[0].Reason()).To(Equal(ReasonTransport))
	})

	It("rejects options without a target, a template or a rate", func(ctx SpecContext) {
		for _, options := range []Options{
			{},
			{Targets: []string{"a"}},
			{Targets: []string{"a"}, Mix: []TemplateLoad{{}}, Steps: []Step{{}}},
		} {
			_, err := Run(context.WithoutCancel(ctx), options)
			Expect(err).To(HaveOccurred())
		}
	})
})

// cutLast splits a request id into its request and its attempt.
func cutLast(id string) (request, attempt string, found bool) {
	index := strings.LastIndex(id, "-")
	if index < 0 {
		return id, "", false
	}
	return id[:index], id[index+1:], true
}

// partialOf returns the early state that says the same as an answer.
func partialOf(answer *api.Answer) *api.Partial {
	return &api.Partial{
		RequestID: answer.RequestID,
		Snapshot:  answer.Snapshot,
		Coverage:  answer.Coverage,
		Records:   answer.Records,
	}
}
