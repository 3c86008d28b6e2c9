package callerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/serve"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/template"
)

const testMaxBody = 1 << 10

// fakePipeline runs a function in place of the node and counts its calls.
type fakePipeline struct {
	mutex sync.Mutex
	calls []*serve.Request // guarded by mutex
	run   func(ctx context.Context, request *serve.Request, partial query.PartialFunc) (*serve.Result, error)
}

func (f *fakePipeline) Serve(ctx context.Context, request *serve.Request, partial query.PartialFunc) (*serve.Result, error) {
	f.mutex.Lock()
	f.calls = append(f.calls, request)
	f.mutex.Unlock()
	return f.run(ctx, request, partial)
}

func (f *fakePipeline) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.calls)
}

func wholeResult() *serve.Result {
	answer := &query.Answer{
		Version:  7,
		Records:  []backend.Record{{Key: "a", Score: 2, Payload: []byte(`{"x":1}`)}, {Key: "b", Score: 1, Payload: []byte("plain")}},
		Coverage: query.Coverage{Requested: keyspace.Full, CoveredWidth: keyspace.Size, PartsCovered: 4, PartsTotal: 4},
	}
	return &serve.Result{Answer: answer, Template: &template.Template{Revision: 3}, Arm: "control"}
}

func answering(context.Context, *serve.Request, query.PartialFunc) (*serve.Result, error) {
	return wholeResult(), nil
}

func failing(err error) func(context.Context, *serve.Request, query.PartialFunc) (*serve.Result, error) {
	return func(context.Context, *serve.Request, query.PartialFunc) (*serve.Result, error) { return nil, err }
}

func newTestServer(pipeline *fakePipeline) *httptest.Server {
	router := echo.New()
	New(Options{
		Pipeline:     pipeline,
		Node:         "node-1",
		Logger:       hclog.NewNullLogger(),
		MaxBodyBytes: testMaxBody,
		BodyTimeout:  200 * time.Millisecond,
		WriteTimeout: time.Second,
	}).Register(router)
	return httptest.NewServer(router)
}

const goodBody = `{"tenant":"t","template":"n","query":"q"}`

var _ = Describe("the callers' interface", func() {
	var pipeline *fakePipeline
	var server *httptest.Server

	BeforeEach(func() {
		pipeline = &fakePipeline{run: answering}
		server = newTestServer(pipeline)
		DeferCleanup(server.Close)
	})

	send := func(path, contentType, body string, headers ...string) *http.Response {
		GinkgoHelper()
		request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Content-Type", contentType)
		for i := 0; i < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		return response
	}
	problemIn := func(response *http.Response) api.Problem {
		GinkgoHelper()
		Expect(response.Header.Get("Content-Type")).To(Equal(api.ContentTypeProblem))
		var problem api.Problem
		Expect(json.NewDecoder(response.Body).Decode(&problem)).To(Succeed())
		Expect(problem.Status).To(Equal(response.StatusCode))
		return problem
	}

	It("gives a whole answer and echoes the request id", func() {
		response := send(api.QueryPath, "application/json; charset=utf-8", goodBody, api.HeaderRequestID, "r-1")
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Header.Get(api.HeaderRequestID)).To(Equal("r-1"))
		var answer api.Answer
		Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
		Expect(answer.RequestID).To(Equal("r-1"))
		Expect(answer.Coverage.Complete).To(BeTrue())
		Expect(answer.Coverage.Missing).To(BeEmpty())
		Expect(string(answer.Records[0].Payload)).To(Equal(`{"x":1}`))
		Expect(string(answer.Records[1].Payload)).To(Equal(`"cGxhaW4="`))
		Expect(answer.Revision).To(BeEquivalentTo(3))
	})

	DescribeTable("refuses bad input, names the field and sends nothing on",
		func(status int, field, contentType, body string, headers ...string) {
			for _, path := range []string{api.QueryPath, api.StreamPath} {
				problem := problemIn(send(path, contentType, body, headers...))
				Expect(problem.Status).To(Equal(status))
				Expect(problem.Field).To(Equal(field))
				Expect(problem.Outcome).To(Equal(outcome.NotRun))
				Expect(problem.Reason).To(Equal(outcome.ReasonInvalid))
			}
			Expect(pipeline.count()).To(BeZero())
		},
		Entry("wrong content type", 415, "Content-Type", "text/plain", goodBody),
		Entry("no content type", 415, "Content-Type", "", goodBody),
		Entry("empty body", 400, "body", "application/json", ""),
		Entry("malformed body", 400, "tenant", "application/json", `{"tenant":`),
		Entry("cut body", 400, "body", "application/json", `{"tenant":"t"`),
		Entry("a list", 400, "body", "application/json", `[]`),
		Entry("two values", 400, "body", "application/json", goodBody+goodBody),
		Entry("oversized body", 413, "body", "application/json", `{"query":"`+strings.Repeat("x", testMaxBody)+`"}`),
		Entry("unknown field", 400, "tennant", "application/json", `{"tennant":"t"}`),
		Entry("field twice", 400, "Tenant", "application/json", `{"tenant":"t","Tenant":"u"}`),
		Entry("wrong type", 400, "limit", "application/json", `{"tenant":"t","template":"n","limit":"x"}`),
		Entry("no tenant", 400, "tenant", "application/json", `{"template":"n"}`),
		Entry("no template", 400, "template", "application/json", `{"tenant":"t"}`),
		Entry("deadline of zero", 400, "deadline_ms", "application/json", `{"tenant":"t","template":"n","deadline_ms":0}`),
		Entry("negative deadline", 400, "deadline_ms", "application/json", `{"tenant":"t","template":"n","deadline_ms":-1}`),
		Entry("absurd deadline", 400, "deadline_ms", "application/json", `{"tenant":"t","template":"n","deadline_ms":9223372036854775807}`),
		Entry("deadline beyond the type", 400, "deadline_ms", "application/json", `{"tenant":"t","template":"n","deadline_ms":92233720368547758070}`),
		Entry("bad request id", 400, api.HeaderRequestID, "application/json", goodBody, api.HeaderRequestID, "a/b"),
	)

	DescribeTable("answers failures with a typed outcome",
		func(err error, status int, wanted outcome.Outcome, retryAfter string) {
			pipeline.run = failing(err)
			response := send(api.QueryPath, "application/json", goodBody)
			problem := problemIn(response)
			Expect(problem.Status).To(Equal(status))
			Expect(problem.Outcome).To(Equal(wanted))
			Expect(response.Header.Get("Retry-After")).To(Equal(retryAfter))
		},
		Entry("unknown template", &serve.FieldError{Field: "template", Missing: true}, 404, outcome.NotRun, ""),
		Entry("field against the template", &serve.FieldError{Field: "limit"}, 422, outcome.NotRun, ""),
		Entry("overload", &outcome.Error{Step: "admit", Outcome: outcome.NotRun, Reason: outcome.ReasonOverloaded, RetryAfter: 1200 * time.Millisecond}, 503, outcome.NotRun, "2"),
		Entry("deadline", errors.Wrap(&outcome.Error{Reason: outcome.ReasonDeadline}, "x"), 504, outcome.Unknown, ""),
		Entry("lost connection", &outcome.Error{Reason: outcome.ReasonConnectionLost, Peer: "p"}, 502, outcome.Unknown, ""),
		Entry("untyped", errors.New("boom"), 500, outcome.Unknown, ""),
	)

	It("says the coverage of an answer that is withheld", func() {
		short := &query.CoverageError{Version: 7, Coverage: query.Coverage{Requested: keyspace.Full, CoveredWidth: keyspace.Size / 2,
			Missing: []keyspace.Range{{Start: keyspace.Size / 2, End: keyspace.Size}}, PartsCovered: 1, PartsTotal: 2}}
		short.Failure = &outcome.Error{Reason: outcome.ReasonCoverageTooLow}
		pipeline.run = failing(short)
		problem := problemIn(send(api.QueryPath, "application/json", goodBody))
		Expect(problem.Coverage.Share).To(Equal(0.5))
		Expect(problem.Coverage.Complete).To(BeFalse())
		Expect(problem.Snapshot).To(BeEquivalentTo(7))
	})

	It("streams early states, a restart and the answer, in order", func() {
		taken := make(chan struct{})
		pipeline.run = func(_ context.Context, _ *serve.Request, partial query.PartialFunc) (*serve.Result, error) {
			partial(query.Partial{Version: 6, Coverage: query.Coverage{CoveredWidth: 1, Requested: keyspace.Full}})
			<-taken
			partial(query.Partial{Version: 7, Restarted: true, Coverage: query.Coverage{CoveredWidth: 1, Requested: keyspace.Full}})
			return wholeResult(), nil
		}
		response := send(api.StreamPath, "application/json", goodBody)
		Expect(response.Header.Get("Content-Type")).To(Equal(api.ContentTypeStream))
		lines := bufio.NewScanner(response.Body)
		var types []api.EventType
		for lines.Scan() {
			var event api.Event
			Expect(json.Unmarshal(lines.Bytes(), &event)).To(Succeed())
			types = append(types, event.Type)
			if len(types) == 1 {
				close(taken)
			}
		}
		Expect(types).To(Equal([]api.EventType{api.EventPartial, api.EventRestart, api.EventPartial, api.EventAnswer}))
	})

	It("announces a restart that only the answer shows", func() {
		written := make(chan struct{})
		pipeline.run = func(_ context.Context, _ *serve.Request, partial query.PartialFunc) (*serve.Result, error) {
			partial(query.Partial{Version: 6, Coverage: query.Coverage{CoveredWidth: 1, Requested: keyspace.Full}})
			<-written
			result := wholeResult()
			result.Answer.Version, result.Answer.Restarts = 7, 1
			return result, nil
		}
		lines := bufio.NewScanner(send(api.StreamPath, "application/json", goodBody).Body)
		var types []api.EventType
		for lines.Scan() {
			var event api.Event
			Expect(json.Unmarshal(lines.Bytes(), &event)).To(Succeed())
			types = append(types, event.Type)
			if len(types) == 1 {
				close(written)
			}
		}
		Expect(types).To(Equal([]api.EventType{api.EventPartial, api.EventRestart, api.EventAnswer}))
	})

	It("ends a stream that fails after its first line with an error", func() {
		pipeline.run = func(_ context.Context, _ *serve.Request, partial query.PartialFunc) (*serve.Result, error) {
			partial(query.Partial{Version: 6, Coverage: query.Coverage{CoveredWidth: 1, Requested: keyspace.Full}})
			time.Sleep(50 * time.Millisecond)
			return nil, &outcome.Error{Reason: outcome.ReasonDeadline}
		}
		body, err := io.ReadAll(send(api.StreamPath, "application/json", goodBody).Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(ContainSubstring(`{"type":"error"`))
	})

	It("does not run the request of a caller that never sends its body", func() {
		connection, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
		_, err = io.WriteString(connection, "POST "+api.QueryPath+" HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		reply, err := bufio.NewReader(connection).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(reply).To(ContainSubstring("408"))
		Expect(pipeline.count()).To(BeZero())
	})

	It("cancels the request of a caller that vanishes", func() {
		cancelled := make(chan struct{})
		pipeline.run = func(ctx context.Context, _ *serve.Request, _ query.PartialFunc) (*serve.Result, error) {
			<-ctx.Done()
			close(cancelled)
			return nil, ctx.Err()
		}
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+api.QueryPath, strings.NewReader(goodBody))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Content-Type", "application/json")
		go func() {
			time.Sleep(50 * time.Millisecond)
			cancel()
		}()
		_, err = http.DefaultClient.Do(request)
		Expect(err).To(HaveOccurred())
		Eventually(cancelled, 10*time.Second).Should(BeClosed())
	})

	It("answers a wrong path and method as a problem", func() {
		response, err := http.Get(server.URL + api.QueryPath)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		Expect(problemIn(response).Status).To(Equal(http.StatusMethodNotAllowed))
	})
})

func FuzzDecodeStrictly(f *testing.F) {
	f.Add([]byte(goodBody))
	f.Add([]byte(`{"a":{"b":[1]},"a":2}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var message api.QueryRequest
		if err := decodeStrictly(text, &message); err == nil && !json.Valid(text) {
			t.Fatalf("took %q, which is not JSON", text)
		}
	})
}
