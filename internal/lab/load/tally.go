package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bramblemast/bramblemast/api"
)

const (
	// Latencies are kept in microseconds up to maxLatency.
	maxLatency        = int64(10 * time.Minute / time.Microsecond)
	latencyDigits     = 3
	timelineDigits    = 2
	microsPerMilli    = 1000.0
	coverageUnits     = 10_000
	curveSpacing      = 100
	curveTailQuantile = 0.999
)

func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, latencyDigits) }

func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// A value beyond the range counts as the greatest one.
	micros := min(max(latency.Microseconds(), 1), maxLatency)
	// The value is within the range.
	_ = histogram.RecordValue(micros)
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile*100)) / microsPerMilli
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	if histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		Mean:  histogram.Mean() / microsPerMilli,
		P50:   milliseconds(histogram, 0.5),
		P90:   milliseconds(histogram, 0.9),
		P99:   milliseconds(histogram, 0.99),
		P999:  milliseconds(histogram, curveTailQuantile),
		Max:   float64(histogram.Max()) / microsPerMilli,
		Curve: curve(histogram),
	}
}

// curve samples the distribution at each hundredth and in the tail.
func curve(histogram *hdrhistogram.Histogram) []CurvePoint {
	points := make([]CurvePoint, 0, curveSpacing+5)
	for i := 1; i < curveSpacing; i++ {
		points = append(points, curvePoint(histogram, float64(i)/curveSpacing))
	}
	for _, quantile := range []float64{0.995, 0.998, curveTailQuantile, 1} {
		points = append(points, curvePoint(histogram, quantile))
	}
	return points
}

func curvePoint(histogram *hdrhistogram.Histogram, quantile float64) CurvePoint {
	return CurvePoint{Quantile: quantile, Value: milliseconds(histogram, quantile)}
}

// tally accumulates requests that are counted together. It is guarded by the
// mutex of its recorder.
type tally struct {
	count     int64
	useful    int64
	exchanges int64
	latency   *hdrhistogram.Histogram
	partial   *hdrhistogram.Histogram
	coverage  *hdrhistogram.Histogram
	complete  int64
	// coverageSum is kept apart, because the histogram rounds.
	coverageSum float64
	minCoverage float64
	extra       ExtraLoadSummary
	samples     []FailureSample
}

// maxSamples bounds the failures that are kept in words for each series.
const maxSamples = 5

func newTally() *tally {
	return &tally{
		latency:     newLatencies(),
		partial:     newLatencies(),
		coverage:    hdrhistogram.New(1, coverageUnits, latencyDigits),
		minCoverage: 1,
	}
}

func (t *tally) addAnswer(answer *api.Answer) {
	share := answer.Coverage.Share
	units := min(max(int64(share*coverageUnits), 1), coverageUnits)
	// The value is within the range.
	_ = t.coverage.RecordValue(units)
	t.coverageSum += share
	t.minCoverage = min(t.minCoverage, share)
	if answer.Coverage.Complete {
		t.complete++
	}
	t.extra.Primary += int64(answer.ExtraLoad.Primary)
	t.extra.Hedges += int64(answer.ExtraLoad.Hedges)
	t.extra.Retries += int64(answer.ExtraLoad.Retries)
}

// addFailure keeps one of the first failures in words.
func (t *tally) addFailure(exchange *Exchange) {
	if len(t.samples) >= maxSamples {
		return
	}
	sample := FailureSample{RequestID: exchange.RequestID, Status: exchange.Status}
	switch {
	case exchange.Problem != nil:
		sample.Text = exchange.Problem.Detail
	case exchange.Err != nil:
		sample.Text = exchange.Err.Error()
	}
	t.samples = append(t.samples, sample)
}

// merge adds other to t.
func (t *tally) merge(other *tally) {
	t.count += other.count
	t.useful += other.useful
	t.exchanges += other.exchanges
	t.latency.Merge(other.latency)
	t.partial.Merge(other.partial)
	t.coverage.Merge(other.coverage)
	t.complete += other.complete
	t.coverageSum += other.coverageSum
	t.minCoverage = min(t.minCoverage, other.minCoverage)
	t.extra.Primary += other.extra.Primary
	t.extra.Hedges += other.extra.Hedges
	t.extra.Retries += other.extra.Retries
}

func (t *tally) extraLoad() ExtraLoadSummary {
	summary := t.extra
	if summary.Primary > 0 {
		summary.Ratio = float64(summary.Hedges+summary.Retries) / float64(summary.Primary)
	}
	return summary
}

func (t *tally) coverageSummary() CoverageSummary {
	answers := t.coverage.TotalCount()
	if answers == 0 {
		return CoverageSummary{}
	}
	return CoverageSummary{
		Answers:  answers,
		Complete: t.complete,
		Mean:     t.coverageSum / float64(answers),
		Min:      t.minCoverage,
		P01:      float64(t.coverage.ValueAtQuantile(1)) / coverageUnits,
		P10:      float64(t.coverage.ValueAtQuantile(10)) / coverageUnits,
	}
}

func (t *tally) firstPartial() *Quantiles {
	if t.partial.TotalCount() == 0 {
		return nil
	}
	summary := quantiles(t.partial)
	return &summary
}
