package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// namespace is the prefix of every metric; docs/OPERATIONS.md explains each.
const namespace = "bramblemast"

// reasonNone is the reason label of a request or sub-request that completed.
const reasonNone = "none"

// latencyBuckets are in seconds, from 1 ms to about 16 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 15)

// metrics counts what the node does. It implements serve.Observer and
// query.Observer and is safe for concurrent use.
type metrics struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	subRequests *prometheus.CounterVec
	subLatency  *prometheus.HistogramVec
	late        *prometheus.CounterVec
	corrupt     *prometheus.CounterVec
	restarted   *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry:    prometheus.NewRegistry(),
		requests:    counter("requests_total", "Callers' requests by how they ended.", "service", "class", "outcome", "reason"),
		latency:     histogram("request_seconds", "Time from arrival to answer of completed requests.", "service", "class"),
		subRequests: counter("subrequests_total", "Sub-requests to back ends by how they ended.", "service", "kind", "outcome", "reason"),
		subLatency:  histogram("subrequest_seconds", "Time of completed sub-requests.", "service"),
		late:        counter("late_responses_total", "Sub-responses that came after their query had no use for them.", "service"),
		corrupt:     counter("corrupt_responses_total", "Sub-responses of another version or range than asked.", "service"),
		restarted:   counter("query_restarts_total", "Queries that began again on a newer index version.", "service"),
	}
	m.registry.MustRegister(m.requests, m.latency, m.subRequests, m.subLatency, m.late, m.corrupt, m.restarted,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	options := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}
	return prometheus.NewHistogramVec(options, labels)
}

// gauge registers a value that is read when metrics are collected.
func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Finished implements serve.Observer.
func (m *metrics) Finished(service target.Service, class policy.Class, elapsed time.Duration, err error) {
	m.requests.WithLabelValues(string(service), string(class), outcome.Of(err).String(), reasonLabel(err)).Inc()
	if err == nil {
		m.latency.WithLabelValues(string(service), string(class)).Observe(elapsed.Seconds())
	}
}

// SubRequestFinished implements query.Observer.
func (m *metrics) SubRequestFinished(to target.Target, kind query.AttemptKind, latency time.Duration, err error) {
	m.subRequests.WithLabelValues(string(to.Service), kind.String(), outcome.Of(err).String(), reasonLabel(err)).Inc()
	if err == nil {
		m.subLatency.WithLabelValues(string(to.Service)).Observe(latency.Seconds())
	}
}

// LateResponse implements query.Observer.
func (m *metrics) LateResponse(service target.Service) {
	m.late.WithLabelValues(string(service)).Inc()
}

// CorruptResponse implements query.Observer.
func (m *metrics) CorruptResponse(service target.Service, _ target.ServerID) {
	m.corrupt.WithLabelValues(string(service)).Inc()
}

// Restarted implements query.Observer.
func (m *metrics) Restarted(service target.Service, _, _ target.Version) {
	m.restarted.WithLabelValues(string(service)).Inc()
}

func reasonLabel(err error) string {
	if err == nil {
		return reasonNone
	}
	return string(outcome.ReasonOf(err))
}
