package exchange

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds on what is read of an answer.
const (
	// maxSurplusAnswers bounds the answers to earlier requests that are skipped.
	maxSurplusAnswers = 3
	// maxInterimAnswers bounds the 1xx answers that are skipped.
	maxInterimAnswers = 4
	// maxBodySize bounds the body of an answer that is held in memory.
	maxBodySize = 8 << 20
	// trustedBodySize is the announced length up to which memory is taken before
	// the bytes have come; a faulty server may announce what it never sends.
	trustedBodySize = 64 << 10
)

// Response is the whole answer of a server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Evidence is the server's mark that it ran the request; empty if none.
	Evidence string
}

// readResponse reads the answer to the request with the given id and reports
// whether the connection can be used again and for how long it may be kept.
func readResponse(used *connection, sent *Request, dialect *Dialect) (*Response, time.Duration, error) {
	for range maxSurplusAnswers {
		answer, keep, err := readOne(used, sent)
		if err != nil {
			return nil, 0, err
		}
		id := answer.Header.Get(dialect.RequestID)
		if id == sent.ID || (id == "" && answer.Header.Get(dialect.NotRun) != "") {
			answer.Evidence = answer.Header.Get(dialect.Evidence)
			if used.reader.Buffered() > 0 {
				// What the server sends behind the answer belongs to no request.
				keep = 0
			}
			return answer, keep, nil
		}
		if id == "" || keep == 0 {
			return nil, 0, errors.Errorf("the answer with status %d carries request id %q", answer.Status, id)
		}
	}
	return nil, 0, errors.New("too many answers to other requests")
}

// readOne reads one final answer from the connection.
func readOne(used *connection, sent *Request) (*Response, time.Duration, error) {
	asked := &http.Request{Method: sent.Method}
	for range maxInterimAnswers {
		head, err := http.ReadResponse(used.reader, asked)
		if err != nil {
			return nil, 0, errors.Wrap(err, "read head")
		}
		if head.StatusCode >= 100 && head.StatusCode < 200 && head.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		return readBody(used, head)
	}
	return nil, 0, errors.New("too many interim answers")
}

func readBody(used *connection, head *http.Response) (*Response, time.Duration, error) {
	// It has been read, or is given up: its end tells nothing.
	defer func() { _ = head.Body.Close() }()
	body, err := readWhole(head)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read body")
	}
	untilClose := head.ContentLength < 0 && len(head.TransferEncoding) == 0
	keep := announcedIdle(head)
	if head.Close || untilClose {
		keep = 0
	}
	header := head.Header
	StripConnectionHeaders(header)
	return &Response{Status: head.StatusCode, Header: header, Body: body}, keep, nil
}

func readWhole(head *http.Response) ([]byte, error) {
	if head.ContentLength > maxBodySize {
		return nil, errors.Errorf("body of %d bytes is too large", head.ContentLength)
	}
	if head.ContentLength >= 0 && head.ContentLength <= trustedBodySize && head.Body != http.NoBody {
		body := make([]byte, head.ContentLength)
		_, err := io.ReadFull(head.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, maxBodySize+1))
	if err == nil && len(body) > maxBodySize {
		err = errors.New("body is too large")
	}
	return body, err
}

// announcedIdle returns for how long the server keeps the connection.
func announcedIdle(head *http.Response) time.Duration {
	for _, line := range head.Header["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			if err == nil && strings.EqualFold(name, "timeout") {
				return min(max(0, time.Duration(seconds)*time.Second-keepAliveSlack), MaxIdleTime)
			}
		}
	}
	return MaxIdleTime
}
