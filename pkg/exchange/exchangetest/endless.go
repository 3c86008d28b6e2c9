package exchangetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// maxEndlessSent is where an EndlessAnswer closes the connection after all, so that a client without a
// bound fails soon: it is far more than a bounded client takes.
const maxEndlessSent = 128 << 20

// EndlessAnswer is an answer of a faulty server that begins with a text and then repeats another one,
// until the client closes the connection or has taken maxEndlessSent bytes. It answers one request.
type EndlessAnswer struct {
	Begin, Repeat string
	// Sent is the number of bytes that the client has taken.
	Sent atomic.Int64
	// Ended is closed when the connection has ended.
	Ended chan struct{}
}

// EndlessAnswers returns, by name, answers without end in each place of an HTTP/1.1 answer. head is a
// status line and headers, each with its line end. id is the header line of an answer to another request.
func EndlessAnswers(head, otherID string) map[string]*EndlessAnswer {
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	answers := map[string]*EndlessAnswer{
		"status line":      {Begin: "HTTP/1.1 200 ", Repeat: "x"},
		"no line":          {Repeat: "\x00"},
		"header line":      {Begin: head + "Long: ", Repeat: "x"},
		"header lines":     {Begin: head, Repeat: "A: b\r\n"},
		"folded lines":     {Begin: head + "A: b\r\n", Repeat: " c\r\n"},
		"interim answers":  {Repeat: "HTTP/1.1 100 X\r\n\r\n"},
		"interim head":     {Begin: "HTTP/1.1 100 X\r\n", Repeat: "A: b\r\n"},
		"surplus answers":  {Repeat: "HTTP/1.1 200 X\r\n" + otherID + "Content-Length: 0\r\n\r\n"},
		"body until close": {Begin: head + "\r\n", Repeat: "x"},
		"long body":        {Begin: head + "Content-Length: 9000000000000\r\n\r\n", Repeat: "x"},
		"chunks":           {Begin: chunked, Repeat: "4\r\nxxxx\r\n"},
		"one chunk":        {Begin: chunked + "7fffffffffff\r\n", Repeat: "x"},
		"tiny chunks":      {Begin: chunked, Repeat: "1\r\nx\r\n"},
		"chunk extension":  {Begin: chunked + "4;", Repeat: "x"},
		"chunk size":       {Begin: chunked, Repeat: "0"},
		"trailer":          {Begin: chunked + "0\r\n", Repeat: "A: b\r\n"},
		"trailer line":     {Begin: chunked + "0\r\nA: ", Repeat: "x"},
	}
	for _, each := range answers {
		each.Ended = make(chan struct{})
	}
	return answers
}

// Serve reads a request and answers it.
func (e *EndlessAnswer) Serve(connection net.Conn) {
	defer close(e.Ended)
	// The connection is being discarded, so an error from Close is of no interest.
	defer func() { _ = connection.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
		return
	}
	count, err := io.WriteString(connection, e.Begin)
	piece := strings.Repeat(e.Repeat, 1+4096/len(e.Repeat))
	for err == nil && e.Sent.Load() < maxEndlessSent {
		e.Sent.Add(int64(count))
		count, err = io.WriteString(connection, piece)
	}
}
