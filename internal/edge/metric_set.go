package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/pkg/owner"
)

// metricsPath is the path of the metrics page.
const metricsPath = "/metrics"

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.175, 0.25, 0.5, 1, 2.5, 10}

// metricSet holds the node's metrics; docs/OPERATIONS.md explains each.
type metricSet struct {
	registry *prometheus.Registry

	requests          *prometheus.CounterVec
	latency           *prometheus.HistogramVec
	missing           *prometheus.CounterVec
	subRequests       *prometheus.CounterVec
	denied            *prometheus.CounterVec
	dependency        *prometheus.GaugeVec
	refused           *prometheus.CounterVec
	overloads         *prometheus.CounterVec
	logLines          *prometheus.CounterVec
	owned             *prometheus.CounterVec
	ownersLost        *prometheus.CounterVec
	storeCalls        *prometheus.CounterVec
	evacuated         *prometheus.GaugeVec
	brokenConnections *prometheus.CounterVec
	suspectStates     *prometheus.CounterVec
	keysLapsed        prometheus.Gauge
	restores          prometheus.Counter
	limited           *prometheus.CounterVec
	// coordinatorsLost counts the times that a coordinator of tenant limits did not answer.
	coordinatorsLost *prometheus.CounterVec
}

func newMetricSet() *metricSet {
	f := &metricSet{
		registry: prometheus.NewRegistry(),
		requests: counters("requests_total", "Requests by outcome.", "route", "arm", "status", "reason"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time to the final answer.", Buckets: latencyBuckets,
		}, []string{"route", "arm"}),
		missing:     counters("parts_missing_total", "Shards left out of successful answers.", "route", "arm"),
		subRequests: counters("sub_requests_total", "Requests sent to servers: first, hedge or retry.", "route", "arm", "kind"),
		denied:      counters("extra_denied_total", "Hedges and retries that the budget did not pay for.", "route", "arm"),
		dependency: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "dependency_up", Help: "1 if the dependency answers, 0 if not.",
		}, []string{"dependency"}),
		refused:   counters("state_refused_total", "Entries of the store that were refused.", "what"),
		overloads: counters("overloads_total", "Requests that failed for want of room, by the first service of their route.", "service"),
		logLines:  counters("log_lines_left_out_total", "Log lines that were left out, by cause.", "cause"),
		owned: counters("owned_parts_total", "Parts of other nodes' requests that this node was asked for as their owner.",
			"route", "result"),
		evacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "zone_evacuated", Help: "1 while nothing is to be sent to the servers of a zone.",
		}, []string{"zone"}),
		storeCalls:        counters("store_calls_total", "Calls to the platform's store, by what was asked and whether it answered as hoped.", "call", "result"),
		brokenConnections: counters("connections_broken_total", "Sub-requests whose server ended the connection before its answer.", "route"),
		suspectStates: counters("suspect_requests_total", "Changes of what is known of requests under which servers ended, by the new standing.",
			"standing"),
		keysLapsed: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "keys_lapsed", Help: "1 while requests with keys are refused because the keys cannot be confirmed.",
		}),
		restores: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_restores_total", Help: "Times that the store was found to have come back from an older copy.",
		}),
		limited: counters("quota_requests_total", "Requests of tenants with a limit, by what was decided; most tenants share the name other.",
			"tenant", "decision"),
		coordinatorsLost: counters("quota_coordinators_lost_total", "Times that a coordinator of limits did not answer."),
		ownersLost:       counters("owners_lost_total", "Times that an owner did not answer and was left out for a while."),
	}
	f.registry.MustRegister(f.requests, f.latency, f.missing, f.subRequests, f.denied, f.dependency, f.refused, f.overloads, f.logLines,
		f.owned, f.ownersLost, f.storeCalls, f.evacuated, f.brokenConnections, f.suspectStates, f.keysLapsed, f.restores, f.limited, f.coordinatorsLost)
	return f
}

const namespace = "bramblemast_edge"

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// gauge registers a gauge whose value is read at each scrape.
func (f *metricSet) gauge(name, help string, read func() float64) {
	f.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help,
	}, read))
}

// counter registers a counter whose value is read at each scrape.
func (f *metricSet) counter(name, help string, read func() uint64) {
	f.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help,
	}, func() float64 { return float64(read()) }))
}

// handler serves the metrics as text.
func (f *metricSet) handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}))
	return mux
}

// count counts a request of a client.
func (f *metricSet) count(record front.Record) {
	route, arm := record.Route, record.Policy.Arm
	f.requests.WithLabelValues(route, arm, strconv.Itoa(record.Status), record.Reason).Inc()
	if record.Refused {
		return
	}
	f.latency.WithLabelValues(route, arm).Observe(record.Took.Seconds())
	result := record.Result
	if record.Status == http.StatusOK && record.Parts < record.Total {
		f.missing.WithLabelValues(route, arm).Add(float64(record.Total - record.Parts))
	}
	f.countSent(route, arm, "first", result.Sent-result.Hedges-result.Retries)
	f.countSent(route, arm, "hedge", result.Hedges)
	f.countSent(route, arm, "retry", result.Retries)
	f.countBroken(route, result.BrokenConnections)
	if result.Denied > 0 {
		f.denied.WithLabelValues(route, arm).Add(float64(result.Denied))
	}
}

func (f *metricSet) countBroken(route string, count int) {
	if count > 0 {
		f.brokenConnections.WithLabelValues(route).Add(float64(count))
	}
}

// countCall counts a call to the store.
func (f *metricSet) countCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	f.storeCalls.WithLabelValues(call, result).Inc()
}

// countOwned counts a request of another node to this one as an owner.
func (f *metricSet) countOwned(record owner.Record) {
	result := record.Result
	f.countBroken(record.Kind, result.BrokenConnections)
	f.owned.WithLabelValues(record.Kind, "answered").Add(float64(result.AnsweredCount))
	if missing := len(record.Services) - result.AnsweredCount; missing > 0 {
		f.owned.WithLabelValues(record.Kind, "missing").Add(float64(missing))
	}
}

func (f *metricSet) countSent(route, arm, kind string, count int) {
	if count > 0 {
		f.subRequests.WithLabelValues(route, arm, kind).Add(float64(count))
	}
}

// secondsSince returns the seconds since a time; -1 for the zero time.
func secondsSince(since time.Time) float64 {
	if since.IsZero() {
		return -1
	}
	return time.Since(since).Seconds()
}
