package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// copyingServer refuses the first send of each refused ID and runs all other requests. It sends each
// refusal once more, when a later request arrives on the same connection. It serves one connection
// at a time.
type copyingServer struct {
	// refusesAll makes it refuse every send.
	refusesAll bool
	// omitsID leaves the request ID out of refusals.
	omitsID bool
	// copiesAfter is the number of requests that arrive between a refusal and its copy.
	copiesAfter int

	refused     map[string]bool
	runs        map[string]int
	connections int
}

func newCopyingServer() *copyingServer {
	return &copyingServer{refused: make(map[string]bool), runs: make(map[string]int)}
}

// DialContext implements exchange.Dialer.
func (s *copyingServer) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.connections++
	go s.serve(far)
	return near, nil
}

func (s *copyingServer) serve(connection net.Conn) {
	reader := bufio.NewReader(connection)
	var late string
	for since := 0; ; since++ {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if late != "" && since > s.copiesAfter {
			_, _ = io.WriteString(connection, late)
			late = ""
		}
		id := received.Header.Get("Id")
		if !s.refusesAll && (s.refused[id] || id[0] != 'r') {
			s.runs[id]++
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 X\r\nId: %s\r\nMark: m\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		s.refused[id] = true
		refusal := "HTTP/1.1 503 X\r\nRefused: 1\r\nContent-Length: 0\r\n"
		if !s.omitsID {
			refusal += "Id: " + id + "\r\n"
		}
		refusal += "\r\n"
		_, _ = io.WriteString(connection, refusal)
		late, since = refusal, 0
	}
}

// TestALateCopyOfARefusalAnswersNoLaterSend guards against a request that runs twice: the late copy of
// its refusal was taken for a refusal of its second send, which the server ran.
func TestALateCopyOfARefusalAnswersNoLaterSend(t *testing.T) {
	for between := range 3 {
		t.Run(fmt.Sprintf("%d requests between", between), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				server := newCopyingServer()
				server.copiesAfter = between
				pool := exchange.NewPool(address, server)
				answer, _, err := send(pool, request("r1"), time.Second)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
				for index := range between {
					_, _, err := send(pool, request(fmt.Sprintf("other%d", index)), time.Second)
					g.Expect(err).NotTo(HaveOccurred())
				}
				g.Expect(server.connections).To(Equal(1), "other requests may use the connection")
				answer, _, err = send(pool, request("r1"), time.Second)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(answer.Status).To(Equal(http.StatusOK), "the server ran the second send")
				g.Expect(server.runs["r1"]).To(Equal(1))
				pool.Close()
			})
		})
	}
}

// TestALateCopyOfARefusalWithoutAnIDAnswersNoLaterSend guards against a request that ran and is held
// for not run: a late refusal of an earlier request named no request ID.
func TestALateCopyOfARefusalWithoutAnIDAnswersNoLaterSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := newCopyingServer()
		server.omitsID = true
		pool := exchange.NewPool(address, server)
		answer, _, err := send(pool, request("r1"), time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Status).To(Equal(http.StatusServiceUnavailable), "on a new connection it can only mean this request")
		_, _, err = send(pool, request("other"), time.Second)
		g.Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
		pool.Close()
	})
}

// TestAConnectionWithManyRefusalsIsClosed checks that the IDs kept for a connection are bounded: it
// is closed when no further one can be kept.
func TestAConnectionWithManyRefusalsIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := newCopyingServer()
		server.refusesAll, server.copiesAfter = true, 1000
		pool := exchange.NewPool(address, server)
		const refusals = 100
		for index := range refusals {
			_, _, err := send(pool, request(fmt.Sprintf("r%d", index)), time.Second)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(server.connections).To(Equal(4), "32 refusals on each connection")
		pool.Close()
	})
}
