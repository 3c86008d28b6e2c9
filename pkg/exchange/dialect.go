// Package exchange carries one sub-request to one server over HTTP/1.1 and
// states what is known about its execution.
//
// It keeps its own connections, so that a request is sent exactly once for
// each call: nothing is resent behind the caller's back. Parsing of answers is
// that of net/http.
package exchange

// Dialect names the headers by which a deployment's servers speak.
type Dialect struct {
	// RequestID identifies a request; servers repeat it in their answers.
	RequestID string
	// DeadlineMillis is the time that is left, in milliseconds.
	DeadlineMillis string
	// ExpectInstance names the incarnation that the request is meant for.
	ExpectInstance string
	// Evidence marks an answer that a server made by running the request.
	Evidence string
	// NotRun marks an answer of a server that did not run the request.
	NotRun string
	// Credential tells who asks, beside the standard headers; empty for none. Where callers
	// have keys it goes no further than the node that the client asks.
	Credential string
	// Tenant names the caller towards servers and other nodes where callers have keys; empty
	// for none.
	Tenant string
}
