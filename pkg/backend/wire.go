package backend

// The exchange with back ends over HTTP/1.1. docs/BACKENDS.md is the reference.
const (
	// QueryPath takes POST requests with a SubQuery body.
	QueryPath = "/v1/query"
	// StatusPath answers GET requests with a JSON status.
	StatusPath = "/v1/status"

	// HeaderRequestID carries "<request id>/<attempt>" and is echoed.
	HeaderRequestID = "X-Request-Id"
	// HeaderTenant carries the tenant.
	HeaderTenant = "X-Tenant"
	// HeaderDeadline carries the remaining time in whole microseconds.
	HeaderDeadline = "X-Deadline-Us"
	// HeaderVersion carries the pinned index version; a response carries the
	// version that it was drawn from.
	HeaderVersion = "X-Index-Version"
	// HeaderRange carries the asked part as "start-end"; a response carries
	// the part that it covers.
	HeaderRange = "X-Key-Range"
	// HeaderChecksum carries the xxhash64 of the response body, 16 hex digits.
	HeaderChecksum = "X-Body-Checksum"
	// HeaderNotRun is set on a refusal before execution; its value is one of
	// the outcome.Reason names shed, draining, version_gone, range_not_held,
	// deadline.
	HeaderNotRun = "X-Not-Run"
	// HeaderRetryAfterMS carries, on a refusal, when to ask again in whole
	// milliseconds. It is finer than Retry-After and goes before it.
	HeaderRetryAfterMS = "X-Retry-After-Ms"
	// HeaderDraining is "true" on every response of a server that is leaving.
	HeaderDraining = "X-Draining"
	// HeaderInstance carries Status.Instance, so that a late answer of a server
	// that has restarted is not taken for one of its new process.
	HeaderInstance = "X-Instance"
	// HeaderLoad carries the share of slots in use, a decimal number.
	HeaderLoad = "X-Load"
	// HeaderNewestVersion carries the newest index version that is served.
	HeaderNewestVersion = "X-Newest-Version"

	// ContentType is the media type of query bodies.
	ContentType = "application/x-protobuf"
)
