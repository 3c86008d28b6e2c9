package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/bytebudget"
)

// Bounds on what is read of a response.
const (
	// maxSurplusAnswers bounds the responses to earlier requests that are skipped; reaching it is an
	// error.
	maxSurplusAnswers = 3
	// maxInterimAnswers bounds the 1xx responses that are skipped.
	maxInterimAnswers = 4
	// maxHeadSize is the maximum size in bytes of the head of a response: twice what clients may send.
	maxHeadSize = 32 << 10
	// maxBodySize is the maximum size in bytes of a response body, which is held in memory.
	maxBodySize = 8 << 20
	// maxEncodedBodySize is the maximum size in bytes of a body with the framing of its chunks.
	maxEncodedBodySize = maxBodySize + maxBodySize/2
	// maxMemoryWait is how long a body waits for memory; longer than clients that do not go on are
	// waited for when memory is short.
	maxMemoryWait = 2 * time.Second
)

// Response is the complete response of a server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Evidence is the server's mark that it ran the request; empty if there is none.
	Evidence string

	hold *bytebudget.Hold
}

// Hold is the memory that the body takes in the budget of the attempt; nil if the attempt had none.
func (r *Response) Hold() *bytebudget.Hold { return r.hold }

// Release returns the memory of the body to the budget. The body must not be used afterwards.
func (r *Response) Release() {
	if r != nil {
		r.hold.Release()
	}
}

// readResponse reads the response that carries the request's id. It also returns how long the
// connection may be kept idle; zero if it must not be reused.
func readResponse(conn *connection, sent *Request, dialect *Dialect, memory *bytebudget.Budget) (*Response, time.Duration, error) {
	for range maxSurplusAnswers {
		answer, keepFor, err := readFinalAnswer(conn, sent, memory)
		if err != nil {
			return nil, 0, err
		}
		id := answer.Header.Get(dialect.RequestID)
		if id == sent.ID || !conn.reused && isRefusalWithoutID(answer, dialect) {
			answer.Evidence = answer.Header.Get(dialect.Evidence)
			if conn.reader.Buffered() > 0 {
				// Bytes that follow the response belong to no request.
				keepFor = 0
			}
			return answer, keepFor, nil
		}
		answer.Release()
		if id == "" || keepFor == 0 {
			return nil, 0, errors.Errorf("the answer with status %d carries request id %q", answer.Status, id)
		}
	}
	return nil, 0, errors.New("too many answers to other requests")
}

// isRefusalWithoutID reports whether a server refused a request before it knew its ID. On a connection
// that carried an earlier request, such a refusal may be a late answer to that one.
func isRefusalWithoutID(answer *Response, dialect *Dialect) bool {
	return answer.Header.Get(dialect.RequestID) == "" && answer.Header.Get(dialect.NotRun) != ""
}

// readFinalAnswer reads one response from the connection and skips 1xx responses before it.
func readFinalAnswer(conn *connection, sent *Request, memory *bytebudget.Budget) (*Response, time.Duration, error) {
	request := &http.Request{Method: sent.Method}
	for range maxInterimAnswers {
		conn.limiter.allow(maxHeadSize)
		head, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, 0, errors.Wrap(err, "read head")
		}
		if isInterim(head) {
			continue
		}
		if !isAnswer(head) {
			return nil, 0, errors.Errorf("unusable status line: %s %.40q", head.Proto, head.Status)
		}
		conn.limiter.allow(maxEncodedBodySize)
		return readBody(head, memory)
	}
	return nil, 0, errors.New("too many interim answers")
}

// isInterim reports whether the answer to the request still follows.
func isInterim(head *http.Response) bool {
	return head.StatusCode >= 100 && head.StatusCode < 200 && head.StatusCode != http.StatusSwitchingProtocols
}

// isAnswer reports whether a head may be that of an answer. The parser of net/http takes any three digits
// for a status, and a request never asks for another protocol.
func isAnswer(head *http.Response) bool {
	return head.ProtoMajor == 1 && head.StatusCode >= 200 && head.StatusCode < 600
}

// readBody reads the body that follows a head. It does not close head.Body, which would read all that a
// server still sends; a connection whose body was not read to its end is closed by the caller.
func readBody(head *http.Response, memory *bytebudget.Budget) (*Response, time.Duration, error) {
	length := head.ContentLength
	if head.Body == http.NoBody {
		// The answer to a HEAD request announces the length of a body that it does not have.
		length = 0
	}
	hold := memory.Open()
	body, err := hold.ReadAll(head.Body, length, maxBodySize, maxMemoryWait)
	if err != nil {
		hold.Release()
		return nil, 0, errors.Wrap(err, "read body")
	}
	untilClose := head.ContentLength < 0 && len(head.TransferEncoding) == 0
	keepFor := announcedIdleTime(head)
	if head.Close || untilClose {
		keepFor = 0
	}
	header := head.Header
	StripConnectionHeaders(header)
	return &Response{Status: head.StatusCode, Header: header, Body: body, hold: hold}, keepFor, nil
}

// announcedIdleTime returns how long the connection may be kept idle: the time that the server
// announces in Keep-Alive less keepAliveMargin, and MaxIdleTime at most.
func announcedIdleTime(head *http.Response) time.Duration {
	for _, line := range head.Header["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			if err == nil && strings.EqualFold(name, "timeout") {
				return min(max(0, time.Duration(seconds)*time.Second-keepAliveMargin), MaxIdleTime)
			}
		}
	}
	return MaxIdleTime
}
