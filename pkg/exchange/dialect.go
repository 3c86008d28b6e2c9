// Package exchange sends one sub-request to one server over HTTP/1.1 and states what is known
// about its execution.
//
// It manages its own connections, so that each call sends the request at most once: nothing is
// resent without the caller's knowledge. Responses are parsed by net/http.
package exchange

// Dialect holds the names of the headers that a deployment's servers use.
type Dialect struct {
	// RequestID identifies a request; servers repeat it in their responses.
	RequestID string
	// DeadlineMillis is the remaining time in milliseconds.
	DeadlineMillis string
	// ExpectInstance names the incarnation that the request is meant for.
	ExpectInstance string
	// Evidence marks a response that a server produced by running the request.
	Evidence string
	// NotRun marks a response of a server that did not run the request.
	NotRun string
	// Credential identifies the caller, in addition to the standard headers; empty for none. Where
	// callers have keys, it is not forwarded beyond the node that receives the client's request.
	Credential string
	// Tenant identifies the caller to servers and other nodes where callers have keys; empty for
	// none.
	Tenant string
}
