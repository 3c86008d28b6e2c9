package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
)

// FuzzReadResponse checks that no input from a server makes the reader panic, and that a response
// is accepted only for the request whose id it carries.
func FuzzReadResponse(f *testing.F) {
	dialect := &Dialect{RequestID: "Id", Evidence: "Mark", NotRun: "Refused"}
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r\r\nMark: m\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r\r\n\r\nuntil it closes"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r\r\nKeep-Alive: timeout=5, max=x\r\nContent-Length: 9\r\n\r\nshort"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		near, far := net.Pipe()
		_ = far.Close()
		conn := newConnection(near, bytes.NewReader(sent))
		answer, keepFor, err := readResponse(conn, &Request{Method: "GET", ID: "r"}, dialect, nil)
		if err != nil {
			return
		}
		id := answer.Header.Get("Id")
		if id != "r" && (id != "" || answer.Header.Get("Refused") == "") {
			t.Fatalf("accepted a response to request %q", id)
		}
		if keepFor > MaxIdleTime || keepFor > 0 && conn.reader.Buffered() > 0 {
			t.Fatalf("a connection is kept idle for %s with %d bytes unread", keepFor, conn.reader.Buffered())
		}
	})
}

// TestAnAnnouncedLengthTakesNoMemory checks that no memory is allocated for a long body that a
// faulty server announces but never sends; many such responses at once would exhaust the memory.
func TestAnAnnouncedLengthTakesNoMemory(t *testing.T) {
	g := NewWithT(t)
	dialect := &Dialect{RequestID: "Id", Evidence: "Mark", NotRun: "Refused"}
	sent := []byte("HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 8388608\r\n\r\nlittle")
	near, far := net.Pipe()
	g.Expect(far.Close()).To(Succeed())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const answers = 20
	for range answers {
		conn := newConnection(near, bytes.NewReader(sent))
		_, _, err := readResponse(conn, &Request{Method: "GET", ID: "r"}, dialect, nil)
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	}
	runtime.ReadMemStats(&after)
	g.Expect((after.TotalAlloc - before.TotalAlloc) / answers).To(BeNumerically("<", 1<<20))
}

// trustedBody is the announced length up to which memory is allocated in advance.
const trustedBody = 64 << 10

// TestALongBodyIsReadWhole checks a body longer than trustedBody, for which memory is not
// allocated in advance.
func TestALongBodyIsReadWhole(t *testing.T) {
	g := NewWithT(t)
	dialect := &Dialect{RequestID: "Id", Evidence: "Mark", NotRun: "Refused"}
	body := bytes.Repeat([]byte("0123456789abcdef"), 2*trustedBody/16)
	sent := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	near, far := net.Pipe()
	g.Expect(far.Close()).To(Succeed())
	conn := newConnection(near, bytes.NewReader(sent))
	answer, keepFor, err := readResponse(conn, &Request{Method: "GET", ID: "r"}, dialect, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Body).To(Equal(body))
	g.Expect(keepFor).To(Equal(MaxIdleTime))
}
