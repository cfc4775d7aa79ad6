// Package cwmetric publishes metrics by client_golang.
package cwmetric

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwmodel"
)

// Metrics holds the metrics of one process.
type Metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	waited   *prometheus.HistogramVec
	ran      *prometheus.HistogramVec
	total    *prometheus.HistogramVec
	http     *prometheus.CounterVec
	labels   *labelSets
}

// waitBuckets are the upper bounds of the histograms' buckets, in seconds.
var waitBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.1, 2.5, 5, 10, 30, 60, 300}

// New returns metrics with their own registry and at most maxLabels pairs of profile and team.
func New(maxLabels int) *Metrics {
	labels := []string{"profile", "class", "team"}
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: waitBuckets}, labels)
	}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		labels:   newLabelSets(maxLabels),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantward_answers_total", Help: "Answers to callers by outcome and reason.",
		}, append(labels, "outcome", "reason")),
		waited: histogram("currantward_wait_seconds", "Time from arrival to the last start."),
		ran:    histogram("currantward_run_seconds", "Time from the last start to its end."),
		total:  histogram("currantward_answer_seconds", "Time from arrival to the answer."),
	}
	m.http = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantward_http_answers_total", Help: "HTTP answers by listener and status.",
	}, []string{"listener", "status"})
	m.registry.MustRegister(m.http, m.answers, m.waited, m.ran, m.total)
	m.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return m
}

// ObserveResponse records one answer.
func (m *Metrics) ObserveResponse(e cwaccounting.Event, class cwmodel.Class) {
	if class == "" {
		class = unknownClass
	}
	set := m.labels.of(labelSet{string(e.Profile), string(class), string(e.Team)})
	answer := e.Response
	m.answers.WithLabelValues(set.profile, set.class, set.team, string(answer.Outcome), string(answer.Reason)).Inc()
	m.total.WithLabelValues(set.profile, set.class, set.team).Observe(e.Latency.Seconds())
	if answer.Attempts > 0 {
		m.waited.WithLabelValues(set.profile, set.class, set.team).Observe(answer.WaitTime.Seconds())
		m.ran.WithLabelValues(set.profile, set.class, set.team).Observe(answer.RunTime.Seconds())
	}
}

// RegisterGauge publishes a value that is read when metrics are collected.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// CountHTTPResponse counts one HTTP answer of a listener.
func (m *Metrics) CountHTTPResponse(listener string, status int) {
	m.http.WithLabelValues(listener, strconv.Itoa(status)).Inc()
}

// RegisterRing publishes how full a ring is and how often it refused.
func (m *Metrics) RegisterRing(name string, length func() int, refused func() uint64) {
	labels := prometheus.Labels{"ring": name}
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "currantward_ring_items", Help: "Items that wait in a ring.", ConstLabels: labels,
		}, func() float64 { return float64(length()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "currantward_ring_refusals_total", Help: "Items that found a ring full.", ConstLabels: labels,
		}, func() float64 { return float64(refused()) }),
	)
}

// RegisterCounter publishes a count that is read when metrics are collected.
func (m *Metrics) RegisterCounter(name, help string, read func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(read()) }))
}

// RegisterTraffic publishes the bytes of one link: with workers, the platform, peers or callers.
func (m *Metrics) RegisterTraffic(link string, traffic *cwhttp.ByteCounter) {
	counter := func(direction string, read func() int64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "currantward_bytes_total", Help: "Bytes of all connections of a link.",
			ConstLabels: prometheus.Labels{"link": link, "direction": direction},
		}, func() float64 { return float64(read()) }))
	}
	counter("sent", traffic.Sent)
	counter("received", traffic.Received)
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
