package oracle

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/lab/dataset"
	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

const (
	testLimit   = 5
	testVersion = 3
)

var (
	testData = dataset.New("resultatside", 11, 400)
	tally    = template.Key{Tenant: "valgsok", Name: "tally"}
	orders   = template.Key{Tenant: "valgsok", Name: "orders"}
)

func newOracle() *Oracle {
	return New(map[template.Key]Expectation{
		tally:  {Dataset: testData, Limit: testLimit, MinimumCoverage: 0.5},
		orders: {Dataset: testData, Limit: testLimit, NotRepeatable: true},
	})
}

// rightAnswer is the answer that a faultless node gives when the given ranges
// are missing.
func rightAnswer(missing ...keyspace.Range) *api.Answer {
	var lost keyspace.Set
	for _, part := range missing {
		lost.Add(part)
	}
	right := testData.Evaluate(testVersion, "group1/", lost.Missing(keyspace.Full), testLimit)
	answer := &api.Answer{
		RequestID: "run-1-1",
		Outcome:   outcome.Completed,
		Tenant:    tally.Tenant,
		Template:  tally.Name,
		Snapshot:  testVersion,
		Matches:   right.Matches,
		ScoreSum:  right.ScoreSum,
		ExtraLoad: api.ExtraLoad{Primary: 4, Hedges: 1, Ratio: 0.25},
		Coverage: api.Coverage{
			Complete: len(missing) == 0, Share: 1 - float64(lost.Width())/float64(keyspace.Size),
			Asked: keyspace.Full, Missing: missing, PartsCovered: 4 - len(missing), PartsTotal: 4,
		},
	}
	for _, record := range right.Records {
		answer.Records = append(answer.Records, api.Record{Key: record.Key, Score: record.Score})
	}
	return answer
}

func exchangeOf(key template.Key, answer *api.Answer) *load.Exchange {
	return &load.Exchange{
		Request: &load.Request{
			Load: &load.TemplateLoad{Tenant: key.Tenant, Template: key.Name},
			Body: api.QueryRequest{Tenant: key.Tenant, Template: key.Name, Query: "group1/"},
		},
		RequestID: "run-1-1", Answer: answer,
	}
}

// rightReceipt is the answer to the not-repeatable request of orderExchange.
func rightReceipt() *api.Answer {
	answer := rightAnswer()
	answer.Template = orders.Name
	answer.ExtraLoad = api.ExtraLoad{Primary: 1}
	answer.Records = []api.Record{{Key: "key", Score: 1, Payload: json.RawMessage(`{"order":1}`)}}
	answer.Matches = 1
	answer.ScoreSum = 1
	return answer
}

func partialOf(answer *api.Answer) *api.Partial {
	return &api.Partial{
		RequestID: answer.RequestID, Snapshot: answer.Snapshot,
		Coverage: answer.Coverage, Records: answer.Records,
	}
}

func orderExchange(answer *api.Answer) *load.Exchange {
	exchange := exchangeOf(orders, answer)
	exchange.Request.IdempotencyKey = "key"
	exchange.Request.Body.Payload = json.RawMessage(`{"order": 1}`)
	return exchange
}

func kindsOf(exchange *load.Exchange) map[Kind]int64 {
	judge := newOracle()
	judge.Observe(exchange)
	return judge.Findings().Kinds
}

func scoreAt(key string, version target.Version) int64 { return testData.Score(key, version) }

var quarter = keyspace.Split(4)[1]

var _ = Describe("the oracle", func() {
	It("accepts right answers, whole and partial", func() {
		Expect(kindsOf(exchangeOf(tally, rightAnswer()))).To(BeEmpty())
		Expect(kindsOf(exchangeOf(tally, rightAnswer(quarter)))).To(BeEmpty())
	})

	DescribeTable("catches", func(kind Kind, spoil func(answer *api.Answer)) {
		answer := rightAnswer()
		spoil(answer)
		Expect(kindsOf(exchangeOf(tally, answer))).To(HaveKey(kind))
	},
		Entry("another caller's request id", KindWrongRequest, func(a *api.Answer) { a.RequestID = "run-2-1" }),
		Entry("another template", KindWrongRequest, func(a *api.Answer) { a.Template = "other" }),
		Entry("a record of another version", KindMixedSnapshot, func(a *api.Answer) {
			a.Records[2].Score = scoreAt(a.Records[2].Key, testVersion+1)
		}),
		Entry("a whole answer of another version", KindMixedSnapshot, func(a *api.Answer) { a.Snapshot = testVersion - 1 }),
		Entry("a record twice", KindDoubleCount, func(a *api.Answer) { a.Records[1] = a.Records[0] }),
		Entry("a part counted twice", KindDoubleCount, func(a *api.Answer) { a.Matches *= 2 }),
		Entry("a lost record", KindWrongRecords, func(a *api.Answer) { a.Records = a.Records[1:] }),
		Entry("a truncated list", KindWrongRecords, func(a *api.Answer) { a.Records = a.Records[:3] }),
		Entry("records out of order", KindWrongRecords, func(a *api.Answer) {
			a.Records[0], a.Records[1] = a.Records[1], a.Records[0]
		}),
		Entry("a made-up score", KindWrongRecords, func(a *api.Answer) { a.Records[0].Score = -1 }),
		Entry("a lost match", KindWrongTotals, func(a *api.Answer) { a.Matches-- }),
		Entry("a wrong sum", KindWrongTotals, func(a *api.Answer) { a.ScoreSum++ }),
		Entry("complete with a part missing", KindFalseComplete, func(a *api.Answer) {
			*a = *rightAnswer(quarter)
			a.Coverage.Complete = true
		}),
		Entry("a thin answer that hides its gap", KindWrongTotals, func(a *api.Answer) {
			thin := rightAnswer(quarter)
			thin.Coverage = a.Coverage
			*a = *thin
		}),
		Entry("a narrowed question", KindFalseComplete, func(a *api.Answer) { a.Coverage.Asked = quarter }),
		Entry("a wrong share", KindCoverage, func(a *api.Answer) { a.Coverage.Share = 0.9 }),
		Entry("a wrong number of parts", KindCoverage, func(a *api.Answer) { a.Coverage.PartsCovered = 5 }),
		Entry("overlapping gaps", KindCoverage, func(a *api.Answer) {
			a.Coverage.Missing = []keyspace.Range{quarter, quarter}
		}),
		Entry("coverage below the minimum", KindBelowMinimum, func(a *api.Answer) {
			*a = *rightAnswer(keyspace.Range{Start: 0, End: keyspace.Size * 3 / 4})
		}),
		Entry("a wrong extra load", KindExtraLoad, func(a *api.Answer) { a.ExtraLoad.Ratio = 0 }),
		Entry("an answer that is not completed", KindOutcome, func(a *api.Answer) { a.Outcome = outcome.Unknown }),
	)

	It("catches any single change of a record or total", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			answer := rightAnswer()
			delta := rapid.Int64Range(1, 1000).Draw(t, "delta")
			switch index := rapid.IntRange(0, testLimit+1).Draw(t, "field"); index {
			case testLimit:
				answer.ScoreSum += delta
			case testLimit + 1:
				answer.Matches += uint64(delta)
			default:
				answer.Records[index].Score += delta
			}
			if len(kindsOf(exchangeOf(tally, answer))) == 0 {
				t.Fatalf("not caught")
			}
		})
	})

	It("catches a stream that changes its snapshot without a restart", func() {
		partial := partialOf(rightAnswer(quarter))
		partial.Snapshot = testVersion + 1
		exchange := exchangeOf(tally, rightAnswer())
		exchange.Events = []api.Event{{Type: api.EventPartial, Partial: partial}}
		Expect(kindsOf(exchange)).To(HaveKey(KindMixedSnapshot))
	})

	It("catches an early state of another request", func() {
		partial := partialOf(rightAnswer(quarter))
		partial.RequestID = "run-2-1"
		exchange := exchangeOf(tally, rightAnswer())
		exchange.Events = []api.Event{{Type: api.EventPartial, Partial: partial}}
		Expect(kindsOf(exchange)).To(Equal(map[Kind]int64{KindWrongRequest: 1}))
	})

	It("allows a stream to change its snapshot after a restart", func() {
		older := partialOf(rightAnswer())
		older.Snapshot = testVersion + 1
		older.Records = nil
		for _, record := range testData.Evaluate(testVersion+1, "group1/", []keyspace.Range{keyspace.Full}, testLimit).Records {
			older.Records = append(older.Records, api.Record{Key: record.Key, Score: record.Score})
		}
		exchange := exchangeOf(tally, rightAnswer())
		exchange.Events = []api.Event{{Type: api.EventPartial, Partial: older}, {Type: api.EventRestart}}
		Expect(kindsOf(exchange)).To(BeEmpty())
	})
})

var _ = Describe("the receipt of a not-repeatable request", func() {
	It("is accepted if it is right", func() {
		Expect(kindsOf(orderExchange(rightReceipt()))).To(BeEmpty())
	})

	DescribeTable("shows", func(kind Kind, spoil func(answer *api.Answer)) {
		answer := rightReceipt()
		spoil(answer)
		Expect(kindsOf(orderExchange(answer))).To(HaveKey(kind))
	},
		Entry("another caller's key", KindWrongRequest, func(a *api.Answer) { a.Records[0].Key = "other" }),
		Entry("another payload", KindWrongRequest, func(a *api.Answer) {
			a.Records[0].Payload = json.RawMessage(`{"order":2}`)
		}),
		Entry("a second run", KindRanTwice, func(a *api.Answer) { a.Records[0].Score, a.ScoreSum = 2, 2 }),
		Entry("a hedge", KindHedgedOnce, func(a *api.Answer) { a.ExtraLoad = api.ExtraLoad{Primary: 1, Hedges: 1, Ratio: 1} }),
		Entry("two receipts", KindWrongRecords, func(a *api.Answer) { a.Records = append(a.Records, a.Records[0]) }),
	)
})

var _ = Describe("the execution logs", func() {
	// told makes an oracle that saw one not-repeatable request end so.
	told := func(results ...outcome.Outcome) *Oracle {
		judge := newOracle()
		for _, result := range results {
			exchange := orderExchange(nil)
			exchange.Problem = &api.Problem{Outcome: result}
			if result == outcome.Completed {
				exchange.Problem = nil
				exchange.Answer = rightReceipt()
			}
			judge.Observe(exchange)
		}
		return judge
	}
	once := Execution{RequestID: "other-1-1", IdempotencyKey: "key", Server: "a:1"}

	DescribeTable("show", func(wanted map[Kind]int64, executions []Execution, results ...outcome.Outcome) {
		judge := told(results...)
		judge.CheckExecutions(executions)
		Expect(judge.Findings().Kinds).To(Equal(wanted))
	},
		Entry("a completed one", map[Kind]int64{}, []Execution{once}, outcome.Completed),
		Entry("an unknown one that ran", map[Kind]int64{}, []Execution{once}, outcome.Unknown),
		Entry("an unknown one that did not run", map[Kind]int64{}, nil, outcome.Unknown),
		Entry("a refused repeat", map[Kind]int64{}, []Execution{once}, outcome.Completed, outcome.NotRun),
		Entry("two runs", map[Kind]int64{KindRanTwice: 1}, []Execution{once, once}, outcome.Completed),
		Entry("two runs of an unknown one", map[Kind]int64{KindRanTwice: 1}, []Execution{once, once}, outcome.Unknown),
		Entry("a run that was denied", map[Kind]int64{KindRanAnyway: 1}, []Execution{once}, outcome.NotRun),
		Entry("a completed one that never ran", map[Kind]int64{KindNeverRan: 1}, nil, outcome.Completed),
		Entry("a run of the very exchange that was denied", map[Kind]int64{KindRanAnyway: 1},
			[]Execution{{RequestID: "run-1-1", Server: "a:1"}}, outcome.NotRun),
	)
})
