package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/pkg/fanout"
)

// Limits of request logs.
const (
	// linesPerSecond is the maximum number of log lines about requests in a second; further ones are
	// dropped and counted.
	linesPerSecond = 50
	// sampleEvery is the sampling interval of ordinary successes: one of that many is logged.
	sampleEvery = 200
)

// requestRecorder counts and logs requests. It implements front.Recorder and is safe for concurrent
// use.
type requestRecorder struct {
	logger  hclog.Logger
	metrics *metricSet
	// storeAge returns the time since the store last answered.
	storeAge func() time.Duration

	successes atomic.Uint64

	mutex sync.Mutex
	// overloads limits the lines about overloads of services; guarded by mutex.
	overloads *stateLogLimiter[string]
	// second is the start of the current second, linesWritten the number of lines in it and leftOut
	// that of lines left out in it; guarded by mutex.
	second       time.Time
	linesWritten int
	leftOut      int
}

func newRequestRecorder(logger hclog.Logger, metrics *metricSet, storeAge func() time.Duration) *requestRecorder {
	return &requestRecorder{logger: logger, metrics: metrics, storeAge: storeAge, overloads: newStateLogLimiter[string](overloadLogInterval)}
}

// Record implements front.Recorder.
func (e *requestRecorder) Record(record front.Record) {
	e.metrics.count(record)
	if isOrdinary(record) && e.successes.Add(1)%sampleEvery != 1 {
		return
	}
	if e.mayWrite() {
		e.logger.Info("request", e.fields(record)...)
	}
}

// mayWrite reports whether a line about a request may be written. If lines were left out
// in the previous second, it logs and counts how many.
func (e *requestRecorder) mayWrite() bool {
	leftOut, ok := e.admit(time.Now())
	if leftOut > 0 {
		e.metrics.logLines.WithLabelValues("rate").Add(float64(leftOut))
		e.logger.Warn("lines left out", "count", leftOut)
	}
	return ok
}

// overloadLogInterval is the minimum time between two log lines about an overload of the same service.
const overloadLogInterval = 5 * time.Second

// Overload implements front.Recorder.
func (e *requestRecorder) Overload(service string, waiting int) {
	e.metrics.overloads.WithLabelValues(service).Inc()
	e.mutex.Lock()
	shouldLog := e.overloads.shouldLogBegin(service, time.Now())
	e.mutex.Unlock()
	if shouldLog {
		e.logger.Warn("overload", "service", service, "waiting", waiting)
	}
}

// isOrdinary reports whether a request was answered successfully with all its parts.
func isOrdinary(record front.Record) bool {
	return record.Status < 400 && record.Parts == record.Total
}

// admit reports whether another line may be written in the current second, and returns the number of
// lines left out in the last one if a new second has begun.
func (e *requestRecorder) admit(now time.Time) (int, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	leftOut := 0
	if now.Sub(e.second) >= time.Second {
		leftOut, e.leftOut, e.linesWritten, e.second = e.leftOut, 0, 0, now
	}
	if e.linesWritten >= linesPerSecond {
		e.leftOut++
		return leftOut, false
	}
	e.linesWritten++
	return leftOut, true
}

// fields returns the log fields of a request: its outcome and what determined it.
func (e *requestRecorder) fields(record front.Record) []any {
	list := []any{
		"request", record.ID, "host", record.Host, "path", record.Path, "route", record.Route,
		"version", record.Version, "store_age_ms", e.storeAge().Milliseconds(), "status", record.Status, "reason", record.Reason,
		"took_ms", float64(record.Took.Microseconds()) / 1000,
	}
	if record.Tenant != "" {
		list = append(list, "tenant", record.Tenant)
	}
	if record.KeyHash != "" {
		list = append(list, "key_hash", record.KeyHash)
	}
	if decision := record.LimitDecision; decision != nil {
		list = append(list, "quota_share", decision.Share, "quota_share_age_ms", decision.Age.Milliseconds(),
			"quota_decided_by", decision.DecidedBy)
	}
	if record.RetryAfter > 0 {
		list = append(list, "retry_after_ms", record.RetryAfter.Milliseconds())
	}
	if record.Cause != nil {
		list = append(list, "error", record.Cause.Error())
	}
	if record.Fingerprint != nil {
		list = append(list, "fingerprint", record.Fingerprint.String())
	}
	if record.Refused {
		return list
	}
	result := record.Result
	list = append(list, "parts", record.Parts, "required", record.Required, "total", record.Total)
	list = append(appendCounts(list, result), "shed", result.Shed, "outcome", result.Outcome.String())
	if result.OwnersAsked > 0 {
		list = append(list, "owners_asked", result.OwnersAsked)
	}
	if len(result.OwnerRecords) > 0 {
		list = append(list, "owners", result.OwnerRecords)
	}
	list = appendAdmission(list, result)
	if record.Policy.Template != "" {
		list = append(list, "template", record.Policy.Template, "template_revision", record.Policy.Revision,
			"arm", record.Policy.Arm)
	}
	if len(result.Attempts) > 0 {
		list = append(list, "attempts", result.Attempts)
	}
	return appendMissing(list, result, record.Services)
}

// appendCounts adds the numbers of sub-requests that were sent, hedged, retried and denied.
func appendCounts(list []any, result fanout.Result) []any {
	list = append(list, "sent", result.Sent, "hedges", result.Hedges, "retries", result.Retries, "budget_denied", result.Denied)
	if result.BrokenConnections > 0 {
		list = append(list, "connections_broken", result.BrokenConnections)
	}
	return list
}

// appendMissing adds the services without an answer, and the last error of the first of them.
func appendMissing(list []any, result fanout.Result, services []string) []any {
	var missing []string
	var failure error
	for index, part := range result.Parts {
		if part != nil {
			continue
		}
		missing = append(missing, services[index])
		if failure == nil {
			failure = result.Failures[index]
		}
	}
	if len(missing) > 0 {
		list = append(list, "missing", missing)
	}
	if failure != nil {
		list = append(list, "error", failure.Error())
	}
	return list
}
