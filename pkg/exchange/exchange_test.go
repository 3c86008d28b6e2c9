package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

const address = "10.0.0.1:80"

func send(pool *exchange.Pool, request *exchange.Request, within time.Duration) (*exchange.Response, *exchange.Attempt, error) {
	attempt := &exchange.Attempt{
		Dialect: &exchangetest.Dialect, Pool: pool, Request: request, Instance: "i-1",
		Deadline: time.Now().Add(within),
	}
	answer, err := attempt.Run()
	return answer, attempt, err
}

func request(id string) *exchange.Request {
	return &exchange.Request{
		Method: "GET", Target: "//a/b?c=%2F&d", Host: "host.example", ID: id, Header: http.Header{"X-Own": {"1", ""}},
	}
}

// TestARequestGoesAlongUnchanged checks that path, query and headers reach the server as the
// client sent them, with the remaining time and the expected instance.
func TestARequestGoesAlongUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := exchangetest.NewNetwork()
		server := network.Add(address, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("body") })
		pool := exchange.NewPool(address, network)
		answer, _, err := send(pool, request("r1"), 1500*time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer.Body)).To(Equal("body"))
		g.Expect(answer.Evidence).To(Equal("m"))
		received := server.Requests()[0]
		g.Expect(received.RequestURI).To(Equal("//a/b?c=%2F&d"))
		g.Expect(received.Host).To(Equal("host.example"))
		g.Expect(received.Header["X-Own"]).To(Equal([]string{"1", ""}))
		g.Expect(received.Header.Get("Left")).To(Equal("1500"))
		g.Expect(received.Header.Get("Meant-For")).To(Equal("i-1"))
		pool.Close()
	})
}

// TestAnAnswerToHeadHasNoBody checks that the length in an answer to a HEAD request announces no body.
func TestAnAnswerToHeadHasNoBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		pool := exchange.NewPool(address, pipeDialer(func(server net.Conn) {
			received, _ := http.ReadRequest(bufio.NewReader(server))
			_, _ = io.WriteString(server, "HTTP/1.1 200 X\r\nId: "+received.Header.Get("Id")+"\r\nMark: m\r\nContent-Length: 7\r\n\r\n")
		}))
		head := request("r1")
		head.Method = http.MethodHead
		answer, _, err := send(pool, head, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Body).To(BeEmpty())
		g.Expect(answer.Header.Get("Content-Length")).To(Equal("7"))
		pool.Close()
	})
}

// TestAConnectionServesManyRequests checks that a connection is reused while it has been idle no
// longer than the server's announced keep-alive time.
func TestAConnectionServesManyRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := exchangetest.NewNetwork()
		network.Add(address, func(exchangetest.Request) exchangetest.Answer {
			answer := exchangetest.Whole("x")
			answer.Header["Keep-Alive"] = "timeout=2"
			return answer
		})
		pool := exchange.NewPool(address, network)
		for index, pause := range []time.Duration{0, time.Second, 1400 * time.Millisecond} {
			time.Sleep(pause)
			_, _, err := send(pool, request(fmt.Sprintf("r%d", index)), time.Second)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(network.Dials()).To(Equal(2), "the last request came after the announced keep-alive time")
		pool.Close()
	})
}

// TestASurplusAnswerBelongsToNoRequest checks that a response to an earlier request is skipped, and
// that one without a request id is rejected.
func TestASurplusAnswerBelongsToNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := exchangetest.NewNetwork()
		network.Add(address, func(exchangetest.Request) exchangetest.Answer {
			answer := exchangetest.Whole("mine")
			answer.Before = "HTTP/1.1 200 X\r\nId: other\r\nMark: m\r\nContent-Length: 5\r\n\r\nother"
			return answer
		})
		pool := exchange.NewPool(address, network)
		answer, _, err := send(pool, request("r1"), time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer.Body)).To(Equal("mine"))

		network.Add("b", func(exchangetest.Request) exchangetest.Answer {
			answer := exchangetest.Whole("whose")
			answer.Header["Id"] = ""
			return answer
		})
		_, _, err = send(exchange.NewPool("b", network), request("r2"), time.Second)
		g.Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
		pool.Close()
	})
}

// TestBytesBehindAnAnswerEndTheConnection checks that a connection on which the server sends bytes
// after a complete response is not reused, since a later request would read them.
func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := exchangetest.NewNetwork()
		network.Add(address, func(exchangetest.Request) exchangetest.Answer {
			answer := exchangetest.Whole("x")
			answer.After = "junk"
			return answer
		})
		pool := exchange.NewPool(address, network)
		for range 2 {
			_, _, err := send(pool, request("r"), time.Second)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(network.Dials()).To(Equal(2))
	})
}

// TestWhatIsKnownOfTheExecution checks that only a request of which nothing was sent is reported
// as not run.
func TestWhatIsKnownOfTheExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := exchangetest.NewNetwork()
		answers := map[string]exchangetest.Answer{
			"cut-head": {Cut: 0}, "cut-body": {Status: 200, Body: "0123456789", Cut: 4}, "hang": {Hang: true},
			"nonsense": {Before: "nonsense\r\n", Status: 200, Cut: -1},
		}
		for name, answer := range answers {
			network.Add(name, func(exchangetest.Request) exchangetest.Answer { return answer })
			_, attempt, err := send(exchange.NewPool(name, network), request("r"), time.Second)
			g.Expect(outcome.Of(err)).To(Equal(outcome.Unknown), name)
			g.Expect(err).To(HaveOccurred(), name)
			g.Expect(attempt.MayHaveArrived).To(BeTrue(), name)
		}
		_, attempt, err := send(exchange.NewPool("nowhere", network), request("r"), time.Second)
		g.Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		g.Expect(attempt.MayHaveArrived).To(BeFalse())
	})
}

// TestAnAttemptEndsWhenItExpires checks that Expire ends a hanging attempt at once, also while it
// is connecting.
func TestAnAttemptEndsWhenItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := exchangetest.NewNetwork()
		network.Add(address, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Answer{Hang: true} })
		for _, connectTime := range []time.Duration{0, time.Hour} {
			network.ConnectTime = connectTime
			attempt := &exchange.Attempt{
				Dialect: &exchangetest.Dialect, Pool: exchange.NewPool(address, network), Request: request("r"),
				Deadline: time.Now().Add(time.Minute),
			}
			began := time.Now()
			time.AfterFunc(time.Second, func() { attempt.Expire(time.Now()) })
			_, err := attempt.Run()
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(began)).To(Equal(time.Second))
			g.Expect(attempt.Expired()).To(BeTrue())
		}
	})
}

// pipeDialer connects to a server function over a pipe.
type pipeDialer func(server net.Conn)

func (d pipeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go d(far)
	return near, nil
}

// TestAnEarlyAnswerEndsTheConnection checks that a connection is not reused if the server responds
// before it has read a long body: the next request would be read as the rest of the body.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		after := make(chan string, 1)
		dialer := pipeDialer(func(server net.Conn) {
			reader := bufio.NewReader(server)
			received, _ := http.ReadRequest(reader)
			_, _ = io.WriteString(server, "HTTP/1.1 413 X\r\nId: "+received.Header.Get("Id")+"\r\nMark: m\r\nContent-Length: 0\r\n\r\n")
			rest, _ := io.ReadAll(reader)
			after <- string(rest)
		})
		pool := exchange.NewPool(address, dialer)
		long := request("r1")
		long.Method, long.Body, long.HasBody = "POST", []byte(strings.Repeat("x", 1<<20)), true
		answer, _, err := send(pool, long, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Status).To(Equal(413))
		g.Expect(pool.Idle()).To(BeZero())
		g.Expect(<-after).NotTo(ContainSubstring("GET"))
	})
}

// TestAClosedConnectionIsNotUsed checks, over real sockets, that an idle connection that the server
// closed, or on which it sent bytes, is detected before a request is sent on it.
func TestAClosedConnectionIsNotUsed(t *testing.T) {
	for name, unsolicited := range map[string]string{"closed": "", "bytes": "HTTP/1.1 200 X\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = listener.Close() }()
			answered := make(chan struct{}, 8)
			go func() {
				for {
					accepted, err := listener.Accept()
					if err != nil {
						return
					}
					received, err := http.ReadRequest(bufio.NewReader(accepted))
					if err != nil {
						return
					}
					_, _ = io.WriteString(accepted, "HTTP/1.1 200 X\r\nId: "+received.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n"+unsolicited)
					if unsolicited == "" {
						_ = accepted.Close()
					}
					answered <- struct{}{}
				}
			}()
			pool := exchange.NewPool(listener.Addr().String(), &net.Dialer{})
			for range 3 {
				_, _, err := send(pool, request("r"), 10*time.Second)
				g.Expect(err).NotTo(HaveOccurred())
				<-answered
				// The kernel delivers on loopback before the peer's call returns.
			}
			pool.Close()
		})
	}
}
