package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// endlessServer answers each request with a beginning and then a repeated text without end.
type endlessServer struct {
	begin, repeat string
	sent          atomic.Int64
	ended         chan struct{}
}

// DialContext implements exchange.Dialer.
func (s *endlessServer) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *endlessServer) serve(connection net.Conn) {
	defer close(s.ended)
	if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
		return
	}
	count, err := io.WriteString(connection, s.begin)
	piece := strings.Repeat(s.repeat, 1+4096/len(s.repeat))
	for err == nil {
		s.sent.Add(int64(count))
		count, err = io.WriteString(connection, piece)
	}
}

// maxEndlessBytes is more than a response may have: a body of 8 MiB in chunks, and what surrounds it.
const maxEndlessBytes = 16 << 20

// TestAnAnswerWithoutEndIsCut guards against a process that runs out of memory, or never ends a
// request, since a faulty server sends bytes without end.
func TestAnAnswerWithoutEndIsCut(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nId: r\r\nMark: m\r\n"
	for name, server := range map[string]*endlessServer{
		"status line":      {begin: "HTTP/1.1 200 ", repeat: "x"},
		"no line":          {repeat: "\x00"},
		"header line":      {begin: head + "Long: ", repeat: "x"},
		"header lines":     {begin: head, repeat: "A: b\r\n"},
		"folded lines":     {begin: head + "A: b\r\n", repeat: " c\r\n"},
		"interim answers":  {repeat: "HTTP/1.1 100 X\r\n\r\n"},
		"interim head":     {begin: "HTTP/1.1 100 X\r\n", repeat: "A: b\r\n"},
		"surplus answers":  {repeat: "HTTP/1.1 200 X\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"body until close": {begin: head + "\r\n", repeat: "x"},
		"long body":        {begin: head + "Content-Length: 9000000000000\r\n\r\n", repeat: "x"},
		"chunks":           {begin: head + "Transfer-Encoding: chunked\r\n\r\n", repeat: "4\r\nxxxx\r\n"},
		"one chunk":        {begin: head + "Transfer-Encoding: chunked\r\n\r\n7fffffffffff\r\n", repeat: "x"},
		"tiny chunks":      {begin: head + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n"},
		"chunk extension":  {begin: head + "Transfer-Encoding: chunked\r\n\r\n4;", repeat: "x"},
		"chunk size":       {begin: head + "Transfer-Encoding: chunked\r\n\r\n", repeat: "0"},
		"trailer":          {begin: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "A: b\r\n"},
		"trailer line":     {begin: head + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", repeat: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server.ended = make(chan struct{})
			pool := exchange.NewPool(address, server)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, _, err := send(pool, request("r"), 5*time.Second)
			runtime.ReadMemStats(&after)
			g.Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
			g.Expect(err).NotTo(MatchError(ContainSubstring("i/o timeout")), "the attempt ends before its deadline")
			g.Expect(pool.Idle()).To(BeZero())
			g.Eventually(server.ended, time.Minute).Should(BeClosed())
			g.Expect(server.sent.Load()).To(BeNumerically("<", maxEndlessBytes))
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 4*maxEndlessBytes))
		})
	}
}
