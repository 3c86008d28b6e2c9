// Package api holds the typed messages of the callers' HTTP interface, for the
// node and for clients in Go. docs/API.md is the reference.
package api

import (
	"encoding/json"

	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Paths, headers and media types of the callers' interface.
const (
	// QueryPath takes POST requests with a QueryRequest and gives one Answer.
	QueryPath = "/v1/query"
	// StreamPath takes the same request and gives a stream of Event lines.
	StreamPath = "/v1/query/stream"

	// HeaderRequestID names the request; the node makes one up if it is absent
	// and echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey is required for a not-repeatable request. The same
	// key runs at most once for a tenant.
	HeaderIdempotencyKey = "Idempotency-Key"

	// ContentTypeProblem is the media type of errors (RFC 9457).
	ContentTypeProblem = "application/problem+json"
	// ContentTypeStream is the media type of StreamPath: one JSON Event a line.
	ContentTypeStream = "application/x-ndjson"
)

// QueryRequest is the body of a request.
type QueryRequest struct {
	Tenant   string `json:"tenant"`
	Template string `json:"template"`
	// Query is passed to the back ends as it is.
	Query string `json:"query"`
	// Key narrows the request to the part of the index that holds the key. It
	// is required for a not-repeatable request.
	Key string `json:"key,omitempty"`
	// Limit is the greatest number of records wanted; the template's limit if
	// zero or greater than that.
	Limit int `json:"limit,omitempty"`
	// DeadlineMS is the time for the answer in milliseconds, at most the
	// template's deadline, which is used if this is absent.
	DeadlineMS *int64 `json:"deadline_ms,omitempty"`
	// Class is "ticker", "interactive" or "archive"; the template's if absent.
	Class string `json:"class,omitempty"`
	// Payload is the content of a not-repeatable request.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Record is one row of an answer.
type Record struct {
	Key     string          `json:"key"`
	Score   int64           `json:"score"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Coverage states which part of the asked key space an answer covers.
type Coverage struct {
	// Complete is true only if every asked position is covered.
	Complete bool `json:"complete"`
	// Share is the covered share of the asked positions, 0 to 1.
	Share float64 `json:"share"`
	// Asked is the range of positions that the request was about.
	Asked        keyspace.Range   `json:"asked"`
	Missing      []keyspace.Range `json:"missing"`
	PartsCovered int              `json:"parts_covered"`
	PartsTotal   int              `json:"parts_total"`
}

// ExtraLoad counts the sub-requests that a request caused.
type ExtraLoad struct {
	Primary int `json:"primary"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
	// Ratio is extra sub-requests for each primary one.
	Ratio float64 `json:"ratio"`
}

// Answer is the result of a request.
type Answer struct {
	RequestID string          `json:"request_id"`
	Outcome   outcome.Outcome `json:"outcome"`
	// Snapshot is the one index version that every record was drawn from.
	Snapshot uint64   `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	Records  []Record `json:"records"`
	// Matches and ScoreSum are totals over the covered part.
	Matches    uint64    `json:"matches"`
	ScoreSum   int64     `json:"score_sum"`
	StopReason string    `json:"stop_reason"`
	ExtraLoad  ExtraLoad `json:"extra_load"`
	Tenant     string    `json:"tenant"`
	Template   string    `json:"template"`
	Revision   uint64    `json:"revision"`
	Arm        string    `json:"arm"`
	ElapsedMS  float64   `json:"elapsed_ms"`
	// Replayed is true if the request had run before under the same
	// idempotency key and this is the recorded result.
	Replayed bool `json:"replayed,omitempty"`
	// Node is the node that served the request.
	Node string `json:"node"`
}

// Partial is an early state of an answer.
type Partial struct {
	RequestID string   `json:"request_id"`
	Snapshot  uint64   `json:"snapshot"`
	Coverage  Coverage `json:"coverage"`
	// Records are the best ones so far; the next partial replaces them.
	Records   []Record `json:"records"`
	ElapsedMS float64  `json:"elapsed_ms"`
	Node      string   `json:"node"`
}

// EventType is the type of one line of a stream.
type EventType string

// The types of a line of a stream. A stream ends with an answer or an error.
const (
	EventPartial EventType = "partial"
	EventRestart EventType = "restart"
	EventAnswer  EventType = "answer"
	EventError   EventType = "error"
)

// Event is one line of a stream; the field named by Type is set. A restart
// event has none: it says that the records so far are void, because the query
// began again on a newer index version.
type Event struct {
	Type    EventType `json:"type"`
	Partial *Partial  `json:"partial,omitempty"`
	Answer  *Answer   `json:"answer,omitempty"`
	Error   *Problem  `json:"error,omitempty"`
}

// Problem is the body of every error (RFC 9457 with extensions).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RequestID names the request.
	RequestID string `json:"request_id,omitempty"`
	// Outcome says what is known about the execution of the request.
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
	// Field is the request field that is wrong, for bad input.
	Field string `json:"field,omitempty"`
	// Step and Peer say where the error arose.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
	// RetryAfterMS is when to retry, in milliseconds; also in the
	// Retry-After header, rounded up to seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Coverage is set when an answer was withheld because its coverage was
	// below the template's minimum.
	Coverage *Coverage `json:"coverage,omitempty"`
	Snapshot uint64    `json:"snapshot,omitempty"`
}
