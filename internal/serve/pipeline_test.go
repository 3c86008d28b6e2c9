package serve

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/pkg/admission"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/claim"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// testNode is a pipeline over fakes. It implements Templates, Gates, Executor
// and Observer.
type testNode struct {
	*Pipeline
	compiled *template.Compiled
	gate     *admission.Gate
	// mutex guards the fields below.
	mutex    sync.Mutex
	executed []*query.Request
	contexts []context.Context
	err      error
}

func newTestNode(t *testing.T, notRepeatable bool, store configstore.Store) *testNode {
	compiled, err := template.Compile(&template.Template{Tenant: "t", Name: "n", Service: "s", Class: policy.ClassInteractive,
		Deadline: policy.Duration(time.Second), NotRepeatable: notRepeatable, Limit: 10})
	if err != nil {
		t.Fatal(err)
	}
	node := &testNode{compiled: compiled, gate: admission.NewGate(admission.Options{})}
	claimer := claim.New(claim.Options{Store: store, Node: "node"})
	node.Pipeline = New(Options{Templates: node, Gates: node, Executor: node, Once: NewOnce(claimer), Arms: armstats.NewRecorder(), Observer: node})
	return node
}

func (n *testNode) Ready() bool { return true }

func (n *testNode) Get(key template.Key) (*template.Compiled, bool) {
	return n.compiled, key == n.compiled.Template.Key()
}

func (n *testNode) For(target.Service) *admission.Gate { return n.gate }

func (n *testNode) Finished(target.Service, policy.Class, time.Duration, error) {}

func (n *testNode) Execute(ctx context.Context, request *query.Request, _ query.PartialFunc) (*query.Answer, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.executed = append(n.executed, request)
	n.contexts = append(n.contexts, ctx)
	if n.err != nil {
		return nil, n.err
	}
	return &query.Answer{Version: 3, Records: []backend.Record{{Key: "k", Score: 7}}, Coverage: query.Coverage{
		Requested: keyspace.Full, CoveredWidth: keyspace.Size}, ExtraLoad: query.ExtraLoad{Primary: 1}}, nil
}

func request() *Request {
	return &Request{ID: "r", Template: template.Key{Tenant: "t", Name: "n"}, Arrived: time.Now()}
}

func order(key, payload string) *Request {
	ordered := request()
	ordered.Key, ordered.IdempotencyKey, ordered.Payload = "k", key, json.RawMessage(payload)
	return ordered
}

func TestWrongFieldsAreNamedAndNothingIsSentOn(t *testing.T) {
	g := NewWithT(t)
	for field, spoil := range map[string]func(*Request){
		"template":    func(r *Request) { r.Template.Name = "other" },
		"query":       func(r *Request) { r.Query = strings.Repeat("x", MaxQueryBytes+1) },
		"key":         func(r *Request) { r.Key = strings.Repeat("x", MaxKeyBytes+1) },
		"limit":       func(r *Request) { r.Limit = -1 },
		"deadline_ms": func(r *Request) { r.Deadline = time.Second + 1 },
		"class":       func(r *Request) { r.Class = "urgent" },
		"payload":     func(r *Request) { r.Payload = []byte("{}") },
	} {
		node := newTestNode(t, false, configstore.NewMemory())
		spoiled := request()
		spoil(spoiled)
		_, err := node.Serve(t.Context(), spoiled, nil)
		var wrong *FieldError
		g.Expect(errors.As(err, &wrong)).To(BeTrue(), field)
		g.Expect(wrong.Field).To(Equal(field))
		g.Expect(node.executed).To(BeEmpty())
	}
	node := newTestNode(t, true, configstore.NewMemory())
	for _, incomplete := range []*Request{order("", "{}"), request()} {
		_, err := node.Serve(t.Context(), incomplete, nil)
		g.Expect(err).To(MatchError(ContainSubstring("Idempotency-Key")))
	}
}

// TestExecutorKeepsTheDeadlineItself shows that a request's time runs out in the
// executor, which then answers with what it has, and not in its context.
func TestExecutorKeepsTheDeadlineItself(t *testing.T) {
	g := NewWithT(t)
	node := newTestNode(t, false, configstore.NewMemory())
	asked := request()
	asked.Deadline, asked.Limit = 300*time.Millisecond, 4
	_, err := node.Serve(t.Context(), asked, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(node.executed[0].Deadline).To(Equal(asked.Arrived.Add(asked.Deadline)))
	g.Expect(node.executed[0].Limit).To(Equal(4))
	_, bounded := node.contexts[0].Deadline()
	g.Expect(bounded).To(BeFalse())
}

func TestNotRepeatableRequestRunsOnceAndIsReplayed(t *testing.T) {
	g := NewWithT(t)
	store := configstore.NewMemory()
	first, second := newTestNode(t, true, store), newTestNode(t, true, store)
	result, err := first.Serve(t.Context(), order("o-1", `{"a":1}`), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Replayed).To(BeFalse())
	repeated, err := second.Serve(t.Context(), order("o-1", `{"a":1}`), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(repeated.Replayed).To(BeTrue())
	g.Expect(repeated.Answer.Records).To(Equal(result.Answer.Records))
	g.Expect(repeated.Answer.ExtraLoad).To(BeZero())
	g.Expect(second.executed).To(BeEmpty())
	_, err = second.Serve(t.Context(), order("o-1", `{"a":2}`), nil)
	g.Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonDuplicate))
	g.Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
}

func TestKeyIsGivenBackOnlyOnEvidence(t *testing.T) {
	g := NewWithT(t)
	node := newTestNode(t, true, configstore.NewMemory())
	node.err = &outcome.Error{Outcome: outcome.NotRun, Reason: outcome.ReasonShed}
	_, err := node.Serve(t.Context(), order("o-1", `{}`), nil)
	g.Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
	node.err = &outcome.Error{Outcome: outcome.Unknown, Reason: outcome.ReasonConnectionLost}
	_, err = node.Serve(t.Context(), order("o-1", `{}`), nil)
	g.Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonConnectionLost), "the key was given back after not_run")
	node.err = nil
	_, err = node.Serve(t.Context(), order("o-1", `{}`), nil)
	g.Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
	g.Expect(node.executed).To(HaveLen(2))
}
