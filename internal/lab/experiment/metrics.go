package experiment

import (
	"github.com/bramblemast/bramblemast/internal/lab/load"
)

// Metric names a figure of an arm.
type Metric string

// The metrics.
const (
	MetricP50           Metric = "p50_ms"
	MetricP99           Metric = "p99_ms"
	MetricP999          Metric = "p999_ms"
	MetricMean          Metric = "mean_ms"
	MetricFirstPartial  Metric = "first_partial_p50_ms"
	MetricCoverageMean  Metric = "coverage_mean"
	MetricCoverageMin   Metric = "coverage_min"
	MetricCompleteShare Metric = "complete_share"
	MetricExtraLoad     Metric = "extra_load"
	// MetricGoodput is useful answers per second; MetricUsefulOfCapacity is
	// that as a share of the service's capacity.
	MetricGoodput          Metric = "goodput_per_s"
	MetricUsefulOfCapacity Metric = "useful_of_capacity"
	MetricRefusedShare     Metric = "refused_share"
	MetricFailedShare      Metric = "failed_share"
	// MetricRefusalP50 is the median latency of refusals; MetricRefusalShare
	// is that as a share of the median latency of answers.
	MetricRefusalP50   Metric = "refusal_p50_ms"
	MetricRefusalP99   Metric = "refusal_p99_ms"
	MetricRefusalShare Metric = "refusal_of_served_median"
	// MetricAttempts is the callers' exchanges for each request.
	MetricAttempts Metric = "attempts"
	// MetricBackendAttempts is the sub-requests that back ends received for
	// each primary sub-request of an answer: work for failed requests, hedges
	// and retries raise it above 1.
	MetricBackendAttempts Metric = "backend_attempts"
	// MetricShed is the sub-requests that back ends shed, as a share of those
	// received.
	MetricShed       Metric = "backend_shed_share"
	MetricViolations Metric = "violations"
)

// metrics lists all in the order of reports.
var metrics = []Metric{
	MetricP50, MetricP99, MetricP999, MetricMean, MetricFirstPartial,
	MetricCoverageMean, MetricCoverageMin, MetricCompleteShare, MetricExtraLoad,
	MetricGoodput, MetricUsefulOfCapacity, MetricRefusedShare, MetricFailedShare,
	MetricRefusalP50, MetricRefusalP99, MetricRefusalShare,
	MetricAttempts, MetricBackendAttempts, MetricShed, MetricViolations,
}

func (m Metric) known() bool {
	for _, metric := range metrics {
		if metric == m {
			return true
		}
	}
	return false
}

// observation is what one repeat showed of one arm.
type observation struct {
	summary    load.ArmSummary
	capacity   float64
	violations int64
	// backend is nil where back ends can't be told apart by arm.
	backend *BackendWork
}

// BackendWork is what the back ends of one service did during the steps.
type BackendWork struct {
	Received uint64 `json:"received"`
	Executed uint64 `json:"executed"`
	Shed     uint64 `json:"shed"`
}

// figures works out the metrics that the repeat can tell.
func (o observation) figures() map[Metric]float64 {
	summary := o.summary
	values := map[Metric]float64{
		MetricGoodput:      summary.UsefulRate,
		MetricRefusedShare: share(summary.Refused, summary.Requests),
		MetricFailedShare:  share(summary.Failed, summary.Requests),
		MetricAttempts:     summary.Attempts,
		MetricViolations:   float64(o.violations),
	}
	if o.capacity > 0 {
		values[MetricUsefulOfCapacity] = summary.UsefulRate / o.capacity
	}
	o.addAnswers(values)
	o.addRefusals(values)
	o.addBackend(values)
	return values
}

// addAnswers adds what only answers tell; without one it is not measured.
func (o observation) addAnswers(values map[Metric]float64) {
	summary := o.summary
	if summary.Answered == 0 {
		return
	}
	values[MetricP50] = summary.Latency.P50
	values[MetricP99] = summary.Latency.P99
	values[MetricP999] = summary.Latency.P999
	values[MetricMean] = summary.Latency.Mean
	values[MetricCoverageMean] = summary.Coverage.Mean
	values[MetricCoverageMin] = summary.Coverage.Min
	values[MetricCompleteShare] = share(summary.Coverage.Complete, summary.Coverage.Answers)
	values[MetricExtraLoad] = summary.ExtraLoad.Ratio
	if summary.FirstPartial != nil {
		values[MetricFirstPartial] = summary.FirstPartial.P50
	}
}

func (o observation) addRefusals(values map[Metric]float64) {
	if o.summary.Refused == 0 {
		return
	}
	values[MetricRefusalP50] = o.summary.RefusalLatency.P50
	values[MetricRefusalP99] = o.summary.RefusalLatency.P99
	if o.summary.Answered > 0 {
		values[MetricRefusalShare] = o.summary.RefusalLatency.P50 / o.summary.Latency.P50
	}
}

func (o observation) addBackend(values map[Metric]float64) {
	if o.backend == nil {
		return
	}
	if primary := o.summary.ExtraLoad.Primary; primary > 0 {
		values[MetricBackendAttempts] = float64(o.backend.Received) / float64(primary)
	}
	if o.backend.Received > 0 {
		values[MetricShed] = float64(o.backend.Shed) / float64(o.backend.Received)
	}
}

func share(count, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(count) / float64(total)
}
