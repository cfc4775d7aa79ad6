// Package cwcellmetric publishes the metrics of an entry host that may own a cell.
package cwcellmetric

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"currantward/internal/app/cwcellowner"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwwork"
)

const (
	// maxQueues is the number of queues that have a label of their own. It bounds the number of time series.
	maxQueues = 64
	// otherQueuesLabel is the label of all queues above the limit.
	otherQueuesLabel = "other"
	// outcomeDone is the outcome of a call without an error; failed calls have the error's code.
	outcomeDone = "done"
)

// buckets are the upper bounds of the histograms' buckets, in seconds.
var buckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20, 40, 80}

// Metrics holds the metrics of one process.
type Metrics struct {
	registry *prometheus.Registry
	events   *prometheus.CounterVec
	commits  prometheus.Histogram
	advice   prometheus.Histogram
	jobWait  *prometheus.HistogramVec
	jobTime  *prometheus.HistogramVec
	requests *prometheus.HistogramVec
	calls    *prometheus.CounterVec

	mu     sync.Mutex
	queues map[cwwork.QueueName]struct{} // queues with a label of their own
}

// New returns metrics with their own registry.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		queues:   map[cwwork.QueueName]struct{}{},
		events:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "currantward_cell_events_total", Help: "Decisions and events of the cell by kind."}, []string{"event"}),
		commits:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "currantward_commit_seconds", Help: "Time of a write of the owner.", Buckets: buckets}),
		advice:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "currantward_advice_seconds", Help: "Time from a question to its answer.", Buckets: buckets}),
		jobWait:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "currantward_job_wait_seconds", Help: "Time from acceptance to the first start by queue.", Buckets: buckets}, []string{"queue"}),
		jobTime:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "currantward_job_seconds", Help: "Time from acceptance to the durable end by queue and state.", Buckets: buckets}, []string{"queue", "state"}),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "currantward_answer_seconds", Help: "Time of an answer to a caller by queue, method and status.", Buckets: buckets}, []string{"queue", "method", "status"}),
		calls:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "currantward_platform_calls_total", Help: "Calls to the store, the workers and the advice by outcome."}, []string{"call", "outcome"}),
	}
	m.registry.MustRegister(m.events, m.commits, m.advice, m.jobWait, m.jobTime, m.requests, m.calls)
	m.registry.MustRegister(collectors.NewGoCollector())
	return m
}

// queueLabel returns the label of a queue: its name for the first maxQueues queues, and otherQueuesLabel for all others.
func (m *Metrics) queueLabel(queue cwwork.QueueName) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.queues[queue]; !ok {
		if len(m.queues) >= maxQueues {
			return otherQueuesLabel
		}
		m.queues[queue] = struct{}{}
	}
	return string(queue)
}

// ObserveEvent records one event of the cell: the duration if the event has a histogram, and the count of any other event.
func (m *Metrics) ObserveEvent(o cwcellowner.Observation) {
	switch o.Event {
	case cwcellowner.EventCommit:
		m.commits.Observe(o.Duration.Seconds())
	case cwcellowner.EventAdvice:
		m.advice.Observe(o.Duration.Seconds())
	case cwcellowner.EventStarted:
		m.jobWait.WithLabelValues(m.queueLabel(o.Queue)).Observe(o.Duration.Seconds())
	case cwcellowner.EventEnded:
		m.jobTime.WithLabelValues(m.queueLabel(o.Queue), string(o.State)).Observe(o.Duration.Seconds())
	default:
		m.events.WithLabelValues(o.Event).Inc()
	}
}

// ObserveRequest records the time of one response to a caller.
func (m *Metrics) ObserveRequest(method string, queue cwwork.QueueName, status int, elapsed time.Duration) {
	m.requests.WithLabelValues(m.queueLabel(queue), method, strconv.Itoa(status)).Observe(elapsed.Seconds())
}

// ObserveCall counts one call to the platform by its outcome; a nil err is a success.
func (m *Metrics) ObserveCall(call string, err error) {
	outcome := outcomeDone
	if err != nil {
		outcome = string(cwfault.CodeOf(err))
	}
	m.calls.WithLabelValues(call, outcome).Inc()
}

// RegisterGauge registers a gauge whose value is read at each collection.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
