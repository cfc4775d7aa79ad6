// Package cwmetric publishes metrics with the Prometheus client.
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
	registry      *prometheus.Registry
	responses     *prometheus.CounterVec
	waitTime      *prometheus.HistogramVec
	runTime       *prometheus.HistogramVec
	latency       *prometheus.HistogramVec
	httpResponses *prometheus.CounterVec
	labels        *labelSets
}

// durationBuckets are the upper bounds of the histogram buckets, in seconds.
var durationBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.1, 2.5, 5, 10, 30, 60, 300}

// New returns metrics with their own registry. At most maxLabels label sets are published; further profiles and teams share the overflow
// label.
func New(maxLabels int) *Metrics {
	labels := []string{"profile", "class", "team"}
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: durationBuckets}, labels)
	}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		labels:   newLabelSets(maxLabels),
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantward_answers_total", Help: "Answers to callers by outcome and reason.",
		}, append(labels, "outcome", "reason")),
		waitTime: histogram("currantward_wait_seconds", "Time from arrival to the last start."),
		runTime:  histogram("currantward_run_seconds", "Time from the last start to its end."),
		latency:  histogram("currantward_answer_seconds", "Time from arrival to the answer."),
	}
	m.httpResponses = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantward_http_answers_total", Help: "HTTP answers by listener and status.",
	}, []string{"listener", "status"})
	m.registry.MustRegister(m.httpResponses, m.responses, m.waitTime, m.runTime, m.latency)
	m.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return m
}

// ObserveResponse records one response to a caller. An empty class means that the profile is not in the active configuration.
func (m *Metrics) ObserveResponse(e cwaccounting.Event, class cwmodel.Class) {
	if class == "" {
		class = unknownClass
	}
	set := m.labels.limit(labelSet{string(e.Profile), string(class), string(e.Team)})
	response := e.Response
	m.responses.WithLabelValues(set.profile, set.class, set.team, string(response.Outcome), string(response.Reason)).Inc()
	m.latency.WithLabelValues(set.profile, set.class, set.team).Observe(e.Latency.Seconds())
	if response.Attempts > 0 {
		m.waitTime.WithLabelValues(set.profile, set.class, set.team).Observe(response.WaitTime.Seconds())
		m.runTime.WithLabelValues(set.profile, set.class, set.team).Observe(response.RunTime.Seconds())
	}
}

// RegisterGauge registers a gauge whose value is read at each collection.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// CountHTTPResponse counts one HTTP response of a listener.
func (m *Metrics) CountHTTPResponse(listener string, status int) {
	m.httpResponses.WithLabelValues(listener, strconv.Itoa(status)).Inc()
}

// RegisterRing registers the length of a ring and the count of items that it rejected because it was full.
func (m *Metrics) RegisterRing(name string, length func() int, rejected func() uint64) {
	labels := prometheus.Labels{"ring": name}
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "currantward_ring_items", Help: "Items that wait in a ring.", ConstLabels: labels,
		}, func() float64 { return float64(length()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "currantward_ring_refusals_total", Help: "Items that found a ring full.", ConstLabels: labels,
		}, func() float64 { return float64(rejected()) }),
	)
}

// RegisterCounter registers a counter whose value is read at each collection.
func (m *Metrics) RegisterCounter(name, help string, read func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(read()) }))
}

// RegisterTraffic registers the byte counts of one link: the connections to workers, the platform, peers or callers.
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
