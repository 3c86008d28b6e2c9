package httpbackend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// generous is a deadline that no passing spec reaches.
	generous = 30 * time.Second
	// short is a deadline that is meant to pass.
	short = 50 * time.Millisecond
)

func requestTo(server target.ServerID, attempt uint32) *backend.Request {
	return &backend.Request{
		RequestID: "request", Attempt: attempt, Tenant: "tenant", Query: "q", Limit: 5, IdempotencyKey: "key",
		Target: target.Target{Server: server, Version: 4, Range: keyspace.Range{Start: 16, End: 32}},
	}
}

func expectFailure(err error, want outcome.Outcome, reason outcome.Reason) *outcome.Error {
	GinkgoHelper()
	var failed *outcome.Error
	Expect(errors.As(err, &failed)).To(BeTrue(), "error %v", err)
	Expect(failed.Outcome).To(Equal(want), "error %v", err)
	Expect(failed.Reason).To(Equal(reason), "error %v", err)
	Expect(failed.Peer).NotTo(BeEmpty())
	Expect(failed.Step).NotTo(BeEmpty())
	return failed
}

var _ = Describe("Do", func() {
	var (
		client *Client
		// mutex guards hints.
		mutex  sync.Mutex
		hints  []backend.Hints
		ctx    context.Context
		cancel context.CancelFunc
	)

	start := func(answer reply) *fakeServer {
		server := startFakeServer(answer)
		DeferCleanup(server.stop)
		return server
	}

	BeforeEach(func() {
		hints = nil
		client = New(Options{
			Connections:      func(target.ServerID) int { return 1 },
			MaxResponseBytes: 1 << 10,
			OnHints: func(_ target.ServerID, seen backend.Hints) {
				mutex.Lock()
				defer mutex.Unlock()
				hints = append(hints, seen)
			},
		})
		DeferCleanup(client.Close)
		ctx, cancel = context.WithTimeout(context.Background(), generous)
		DeferCleanup(func() { cancel() })
	})

	It("returns a whole answer, keeps the connection, and passes the request on", func() {
		var seen http.Header
		server := start(func(conn *net.TCPConn, request *http.Request) bool {
			seen = request.Header
			return good(conn, request)
		})
		for attempt := range uint32(3) {
			response, err := client.Do(ctx, requestTo(server.id(), attempt))
			Expect(err).NotTo(HaveOccurred())
			Expect(response).To(Equal(&backend.Response{
				Version: 4, Range: keyspace.Range{Start: 16, End: 32}, Matches: 3, ScoreSum: 21,
				Records: []backend.Record{{Key: "k", Score: 7, Payload: []byte("p")}},
				Hints:   backend.Hints{Load: -1},
			}))
		}
		Expect(server.connectionCount()).To(Equal(1))
		Expect(seen.Get(backend.HeaderRequestID)).To(Equal("request/2"))
		Expect(seen.Get(backend.HeaderTenant)).To(Equal("tenant"))
		Expect(seen.Get(backend.HeaderVersion)).To(Equal("4"))
		Expect(seen.Get(backend.HeaderRange)).To(Equal("16-32"))
		Expect(seen).NotTo(HaveKey("Idempotency-Key"))
		remaining, err := strconv.ParseInt(seen.Get(backend.HeaderDeadline), 10, 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(remaining).To(And(BeNumerically(">", 0), BeNumerically("<=", generous.Microseconds())))
	})

	It("reads chunked answers", func() {
		server := start(func(conn *net.TCPConn, request *http.Request) bool {
			goodAnswer(request).writeChunked(conn, false)
			return true
		})
		_, err := client.Do(ctx, requestTo(server.id(), 1))
		Expect(err).NotTo(HaveOccurred())
	})

	It("reads hints on answers and refusals, and ignores nonsense", func() {
		server := start(spoiled(func(a *answer) {
			a.header.Set(backend.HeaderDraining, "true")
			a.header.Set(backend.HeaderInstance, "i")
			a.header.Set(backend.HeaderLoad, "0.5")
			a.header.Set(backend.HeaderNewestVersion, "9")
		}))
		response, err := client.Do(ctx, requestTo(server.id(), 1))
		Expect(err).NotTo(HaveOccurred())
		want := backend.Hints{Draining: true, Instance: "i", Load: 0.5, NewestVersion: 9}
		Expect(response.Hints).To(Equal(want))
		Expect(hints).To(ConsistOf(want))
		Expect(parseHints(http.Header{"X-Load": {"NaN"}, "X-Newest-Version": {"-1"}})).To(Equal(backend.Hints{Load: -1}))
	})

	Describe("before anything is written", func() {
		It("says not run if the connection is refused", func() {
			server := start(good)
			server.stop()
			_, err := client.Do(ctx, requestTo(server.id(), 1))
			expectFailure(err, outcome.NotRun, outcome.ReasonUnreachable)
		})

		It("says not run if the caller has given up", func() {
			server := start(good)
			cancel()
			_, err := client.Do(ctx, requestTo(server.id(), 1))
			expectFailure(err, outcome.NotRun, outcome.ReasonCancelled)
			Expect(server.connectionCount()).To(BeZero())
		})

		It("says not run if the deadline passes while it waits for a connection", func() {
			released := make(chan struct{})
			server := start(func(conn *net.TCPConn, request *http.Request) bool {
				<-released
				return good(conn, request)
			})
			release := sync.OnceFunc(func() { close(released) })
			DeferCleanup(release)
			var first error
			var running sync.WaitGroup
			running.Go(func() { _, first = client.Do(ctx, requestTo(server.id(), 1)) })
			Eventually(func() int { return server.executions("request/1") }).Should(Equal(1))
			bounded, end := context.WithTimeout(ctx, short)
			defer end()
			_, err := client.Do(bounded, requestTo(server.id(), 2))
			expectFailure(err, outcome.NotRun, outcome.ReasonDeadline)
			release()
			running.Wait()
			Expect(first).NotTo(HaveOccurred())
			Expect(server.executions("request/2")).To(BeZero())
		})

		It("says not run for an address that is none", func() {
			_, err := client.Do(ctx, requestTo("nowhere", 1))
			expectFailure(err, outcome.NotRun, outcome.ReasonInvalid)
		})
	})

	DescribeTable("says unknown once something may have been written",
		func(answer reply, reason outcome.Reason) {
			server := start(answer)
			_, err := client.Do(ctx, requestTo(server.id(), 1))
			expectFailure(err, outcome.Unknown, reason)
			Expect(server.executions("request/1")).To(Equal(1))
			Eventually(server.closedCount).Should(Equal(1), "the connection cannot be used again")
		},
		Entry("reset after the request", reply(func(conn *net.TCPConn, _ *http.Request) bool {
			reset(conn)
			return false
		}), outcome.ReasonConnectionLost),
		Entry("closed after the request", reply(func(*net.TCPConn, *http.Request) bool { return false }),
			outcome.ReasonConnectionLost),
		Entry("not HTTP", reply(func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = conn.Write([]byte("nonsense\r\n\r\n"))
			return false
		}), outcome.ReasonConnectionLost),
		Entry("truncated body", spoiled(func(a *answer) { a.length = len(a.body) + 1 }), outcome.ReasonCorruptResponse),
		Entry("truncated chunks", reply(func(conn *net.TCPConn, request *http.Request) bool {
			goodAnswer(request).writeChunked(conn, true)
			return false
		}), outcome.ReasonCorruptResponse),
		Entry("wrong checksum", spoiled(func(a *answer) { a.body[0]++ }), outcome.ReasonCorruptResponse),
		Entry("no checksum", spoiled(func(a *answer) { a.header.Del(backend.HeaderChecksum) }),
			outcome.ReasonCorruptResponse),
		Entry("undecodable", spoiled(func(a *answer) {
			a.body = []byte{0xff}
			a.header.Set(backend.HeaderChecksum, Checksum(a.body))
		}), outcome.ReasonCorruptResponse),
		Entry("no version", spoiled(func(a *answer) { a.header.Del(backend.HeaderVersion) }),
			outcome.ReasonCorruptResponse),
		Entry("no range", spoiled(func(a *answer) { a.header.Set(backend.HeaderRange, "32-16") }),
			outcome.ReasonCorruptResponse),
		Entry("too large", spoiled(func(a *answer) { a.body = make([]byte, 2<<10) }), outcome.ReasonCorruptResponse),
		Entry("of another attempt", spoiled(func(a *answer) { a.header.Set(backend.HeaderRequestID, "request/2") }),
			outcome.ReasonCorruptResponse),
		Entry("of nobody", spoiled(func(a *answer) { a.header.Del(backend.HeaderRequestID) }),
			outcome.ReasonCorruptResponse),
		Entry("503 without marker", spoiled(func(a *answer) { a.status = "503 Busy" }), outcome.ReasonBackendError),
		Entry("marker for another request", spoiled(func(a *answer) {
			a.status = "503 Busy"
			a.header.Set(backend.HeaderNotRun, "shed")
			a.header.Set(backend.HeaderRequestID, "request/2")
		}), outcome.ReasonCorruptResponse),
		Entry("marker for nobody", spoiled(func(a *answer) {
			a.status = "503 Busy"
			a.header.Set(backend.HeaderNotRun, "shed")
			a.header.Del(backend.HeaderRequestID)
		}), outcome.ReasonBackendError),
		Entry("key was seen before", spoiled(func(a *answer) {
			a.status = "503 Busy"
			a.header.Set(backend.HeaderNotRun, string(outcome.ReasonDuplicate))
		}), outcome.ReasonDuplicate),
	)

	DescribeTable("says unknown when the caller gives up on a request that was written",
		func(answer func(conn *net.TCPConn, request *http.Request)) {
			release := make(chan struct{})
			defer close(release)
			server := start(func(conn *net.TCPConn, request *http.Request) bool {
				answer(conn, request)
				<-release
				return false
			})
			bounded, end := context.WithTimeout(ctx, short)
			defer end()
			_, err := client.Do(bounded, requestTo(server.id(), 1))
			expectFailure(err, outcome.Unknown, outcome.ReasonDeadline)

			cancelled, giveUp := context.WithCancel(ctx)
			time.AfterFunc(short, giveUp)
			_, err = client.Do(cancelled, requestTo(server.id(), 2))
			expectFailure(err, outcome.Unknown, outcome.ReasonCancelled)
		},
		Entry("no answer", func(*net.TCPConn, *http.Request) {}),
		Entry("slow body", func(conn *net.TCPConn, request *http.Request) {
			response := goodAnswer(request)
			response.length = len(response.body) + 10
			response.write(conn)
		}),
	)

	DescribeTable("says not run for a marked refusal, and keeps the connection",
		func(marker string, reason outcome.Reason, headers map[string]string, retryAfter time.Duration) {
			server := start(spoiled(func(a *answer) {
				a.status = "503 Busy"
				a.header.Set(backend.HeaderNotRun, marker)
				for name, value := range headers {
					a.header.Set(name, value)
				}
			}))
			for attempt := range uint32(2) {
				_, err := client.Do(ctx, requestTo(server.id(), attempt))
				failed := expectFailure(err, outcome.NotRun, reason)
				Expect(failed.RetryAfter).To(Equal(retryAfter))
			}
			Expect(server.connectionCount()).To(Equal(1))
			Expect(hints[0].Draining).To(Equal(marker == "draining"))
		},
		Entry("shed", "shed", outcome.ReasonShed, map[string]string{"X-Retry-After-Ms": "20", "Retry-After": "1"},
			20*time.Millisecond),
		Entry("draining", "draining", outcome.ReasonDraining, map[string]string{"Retry-After": "3"}, 3*time.Second),
		Entry("version gone", "version_gone", outcome.ReasonVersionGone, map[string]string{"Retry-After": "-1"},
			time.Duration(0)),
		Entry("range not held", "range_not_held", outcome.ReasonRangeNotHeld, nil, time.Duration(0)),
		Entry("deadline", "deadline", outcome.ReasonDeadline, map[string]string{"Retry-After": "x"}, time.Duration(0)),
		Entry("unknown marker", "something", outcome.ReasonShed, nil, time.Duration(0)),
	)

	It("uses another connection after an answer of unknown outcome", func() {
		wrong := true
		server := start(func(conn *net.TCPConn, request *http.Request) bool {
			response := goodAnswer(request)
			if wrong {
				response.header.Set(backend.HeaderRequestID, "other/1")
			}
			wrong = false
			response.write(conn)
			return true
		})
		_, err := client.Do(ctx, requestTo(server.id(), 1))
		expectFailure(err, outcome.Unknown, outcome.ReasonCorruptResponse)
		_, err = client.Do(ctx, requestTo(server.id(), 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(server.connectionCount()).To(Equal(2))
	})

	It("never sends a request twice when kept connections die", func() {
		const requests = 300
		server := start(func(conn *net.TCPConn, request *http.Request) bool {
			identity := request.Header.Get(backend.HeaderRequestID)
			switch len(identity) % 3 {
			case 0: // Dies with the request read and run, but not answered.
				reset(conn)
				return false
			case 1: // Dies while idle, as the next request may be on its way.
				goodAnswer(request).write(conn)
				reset(conn)
				return false
			}
			return good(conn, request)
		})
		outcomes := map[outcome.Outcome]int{}
		for number := range requests {
			request := requestTo(server.id(), uint32(number))
			request.RequestID = fmt.Sprintf("%0*d", 1+number%3, number)
			identity := fmt.Sprintf("%s/%d", request.RequestID, request.Attempt)
			_, err := client.Do(ctx, request)
			result := outcome.Of(err)
			outcomes[result]++
			Expect(server.executions(identity)).To(BeNumerically("<=", 1), identity)
			if result == outcome.NotRun {
				Expect(server.executions(identity)).To(BeZero(), identity)
			}
		}
		Expect(outcomes[outcome.Completed]).To(BeNumerically(">", 0))
		Expect(outcomes[outcome.Unknown]).To(BeNumerically(">", 0))
	})

	It("opens no more connections than its share", func() {
		const share = 3
		server := start(good)
		_, err := client.Do(ctx, requestTo(server.id(), 0))
		Expect(err).NotTo(HaveOccurred())
		client.Resize(server.id(), share)
		var running sync.WaitGroup
		for number := range uint32(50) {
			running.Go(func() { _, _ = client.Do(ctx, requestTo(server.id(), number)) })
		}
		running.Wait()
		Expect(server.connectionCount()).To(BeNumerically("<=", share+1))
	})
})

var _ = Describe("Probe", func() {
	probe := func(body string, status int) (*backend.Status, error) {
		server := startFakeServer(func(conn *net.TCPConn, _ *http.Request) bool {
			response := &answer{status: fmt.Sprintf("%d X", status), header: http.Header{}, body: []byte(body), length: -1}
			response.write(conn)
			return true
		})
		DeferCleanup(server.stop)
		client := New(Options{})
		DeferCleanup(client.Close)
		ctx, cancel := context.WithTimeout(context.Background(), generous)
		defer cancel()
		return client.Probe(ctx, server.id())
	}

	It("reads a status", func() {
		status, err := probe(`{"service":"s","instance":"i","draining":true,"ready":true,"uptime_ms":1500,"slots":5,
			"connections":75,"load":0.25,"indexes":[{"version":7,"shards":[{"group":"g","range":{"start":0,"end":16}}]}]}`, 200)
		Expect(err).NotTo(HaveOccurred())
		Expect(*status).To(Equal(backend.Status{
			Service: "s", Instance: "i", Draining: true, Ready: true, Uptime: 1500 * time.Millisecond, Slots: 5,
			Connections: 75, Load: 0.25, Indexes: []backend.Index{{Version: 7, Shards: []backend.Shard{
				{Group: "g", Range: keyspace.Range{Start: 0, End: 16}},
			}}},
		}))
	})

	It("keeps its connection when queries are retained elsewhere or resized", func() {
		server := startFakeServer(func(conn *net.TCPConn, request *http.Request) bool {
			if request.Method == http.MethodPost {
				return good(conn, request)
			}
			body := []byte(`{"service":"s","instance":"i"}`)
			(&answer{status: "200 OK", header: http.Header{}, body: body, length: -1}).write(conn)
			return true
		})
		DeferCleanup(server.stop)
		client := New(Options{})
		DeferCleanup(client.Close)
		ctx, cancel := context.WithTimeout(context.Background(), generous)
		defer cancel()
		exchange := func(attempt uint32) {
			_, err := client.Probe(ctx, server.id())
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Do(ctx, requestTo(server.id(), attempt))
			Expect(err).NotTo(HaveOccurred())
		}
		exchange(1)
		Expect(server.connectionCount()).To(Equal(2))
		client.Retain(nil)
		Eventually(server.closedCount).Should(Equal(1))
		exchange(2)
		client.Resize(server.id(), 1)
		Eventually(server.closedCount).Should(Equal(2))
		exchange(3)
		Expect(server.connectionCount()).To(Equal(4))
	})

	DescribeTable("fails for", func(body string, status int, reason outcome.Reason) {
		_, err := probe(body, status)
		expectFailure(err, outcome.Unknown, reason)
	},
		Entry("another status", "{}", 500, outcome.ReasonBackendError),
		Entry("no JSON", "<", 200, outcome.ReasonCorruptResponse),
		Entry("no instance", `{"service":"s"}`, 200, outcome.ReasonCorruptResponse),
		Entry("a bad range", `{"service":"s","instance":"i","indexes":[{"version":1,"shards":[{"range":{"start":2,"end":1}}]}]}`,
			200, outcome.ReasonCorruptResponse),
	)
})
