package exchange

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is what is sent to a server. The caller must not change it while attempts are running.
type Request struct {
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	ID     string
	// Header holds only headers that are forwarded to the server.
	Header http.Header
	// Body is nil for a request without one.
	Body []byte
	// HasBody makes Content-Length be sent even if the body is empty.
	HasBody bool
}

// connectionHeaders apply to one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripConnectionHeaders removes the headers that apply to one connection only, including those
// that the Connection header lists.
func StripConnectionHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range bytes.Split([]byte(line), []byte(",")) {
			header.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
}

// appendHead appends the request line and the headers.
func (r *Request) appendHead(head []byte, dialect *Dialect, instance string, remaining time.Duration) []byte {
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.Target...)
	head = append(head, " HTTP/1.1\r\n"...)
	head = appendHeader(head, "Host", r.Host)
	if r.ID != "" {
		head = appendHeader(head, dialect.RequestID, r.ID)
	}
	head = appendHeader(head, dialect.DeadlineMillis, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if instance != "" {
		head = appendHeader(head, dialect.ExpectInstance, instance)
	}
	for name, values := range r.Header {
		for _, value := range values {
			head = appendHeader(head, name, value)
		}
	}
	if r.HasBody {
		head = appendHeader(head, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(head, "\r\n"...)
}

func appendHeader(head []byte, name, value string) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}
