package exchange

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
)

// FuzzReadResponse checks that no bytes of a server make the reader panic, and
// that an answer is only taken for the request whose id it carries.
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
		used := &connection{Conn: near, reader: bufio.NewReaderSize(bytes.NewReader(sent), readBufferSize)}
		answer, rest, err := readResponse(used, &Request{Method: "GET", ID: "r"}, dialect)
		if err != nil {
			return
		}
		id := answer.Header.Get("Id")
		if id != "r" && (id != "" || answer.Header.Get("Refused") == "") {
			t.Fatalf("took an answer to %q", id)
		}
		if rest > MaxIdleTime || rest > 0 && used.reader.Buffered() > 0 {
			t.Fatalf("a connection rests for %s with %d bytes unread", rest, used.reader.Buffered())
		}
	})
}

// TestAnAnnouncedLengthTakesNoMemory: a faulty server may announce a long body
// that it never sends; many such answers at once must not fill the memory.
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
		used := &connection{Conn: near, reader: bufio.NewReaderSize(bytes.NewReader(sent), readBufferSize)}
		_, _, err := readResponse(used, &Request{Method: "GET", ID: "r"}, dialect)
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	}
	runtime.ReadMemStats(&after)
	g.Expect((after.TotalAlloc - before.TotalAlloc) / answers).To(BeNumerically("<", 1<<20))
}

// TestALongBodyIsReadWhole beyond the length that is trusted at once.
func TestALongBodyIsReadWhole(t *testing.T) {
	g := NewWithT(t)
	dialect := &Dialect{RequestID: "Id", Evidence: "Mark", NotRun: "Refused"}
	body := bytes.Repeat([]byte("0123456789abcdef"), 2*trustedBodySize/16)
	sent := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	near, far := net.Pipe()
	g.Expect(far.Close()).To(Succeed())
	used := &connection{Conn: near, reader: bufio.NewReaderSize(bytes.NewReader(sent), readBufferSize)}
	answer, rest, err := readResponse(used, &Request{Method: "GET", ID: "r"}, dialect)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Body).To(Equal(body))
	g.Expect(rest).To(Equal(MaxIdleTime))
}
