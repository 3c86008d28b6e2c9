package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/internal/front"
)

// Bounds of request logs.
const (
	// linesPerSecond bounds the lines about requests; what is beyond is counted.
	linesPerSecond = 50
	// sampleEvery is the share of ordinary successes that is logged.
	sampleEvery = 200
)

// events writes the story of requests. It implements front.Recorder.
type events struct {
	logger  hclog.Logger
	figures *figures

	successes atomic.Uint64

	mutex sync.Mutex
	// second, lines and left are guarded by mutex.
	second time.Time
	lines  int
	left   int
}

// Record implements front.Recorder.
func (e *events) Record(record front.Record) {
	e.figures.count(record)
	if isOrdinary(record) && e.successes.Add(1)%sampleEvery != 1 {
		return
	}
	left, ok := e.admit(time.Now())
	if left > 0 {
		e.figures.logLines.WithLabelValues("rate").Add(float64(left))
		e.logger.Warn("lines left out", "count", left)
	}
	if ok {
		e.logger.Info("request", fields(record)...)
	}
}

// isOrdinary reports whether a request was served whole by the first servers
// that were asked.
func isOrdinary(record front.Record) bool {
	return record.Status < 400 && record.Parts == record.Total
}

func (e *events) admit(now time.Time) (int, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	left := 0
	if now.Sub(e.second) >= time.Second {
		left, e.left, e.lines, e.second = e.left, 0, 0, now
	}
	if e.lines >= linesPerSecond {
		e.left++
		return left, false
	}
	e.lines++
	return left, true
}

// fields lists what decided a request.
func fields(record front.Record) []any {
	list := []any{
		"request", record.ID, "host", record.Host, "path", record.Path, "route", record.Route,
		"version", record.Version, "status", record.Status, "reason", record.Reason,
		"took_ms", float64(record.Took.Microseconds()) / 1000,
	}
	if record.Cause != nil {
		list = append(list, "error", record.Cause.Error())
	}
	if record.Refused {
		return list
	}
	result := record.Result
	list = append(list, "parts", record.Parts, "required", record.Required, "total", record.Total,
		"sent", result.Sent, "hedges", result.Hedges, "retries", result.Retries, "budget_denied", result.Denied,
		"outcome", result.Outcome.String())
	if record.Policy.Template != "" {
		list = append(list, "template", record.Policy.Template, "template_revision", record.Policy.Revision,
			"arm", record.Policy.Arm)
	}
	for index, part := range result.Parts {
		if part == nil {
			list = append(list, "missing", record.Services[index])
			if failure := result.Failures[index]; failure != nil {
				list = append(list, "error", failure.Error())
			}
			break
		}
	}
	return list
}
