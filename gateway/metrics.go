package gateway

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the metrics of refusals and submissions.
type Metrics struct {
	refusals    *prometheus.CounterVec
	submissions *prometheus.HistogramVec
	admissions  *prometheus.CounterVec

	mu sync.Mutex // guards queues
	// queues are the queues with a label value of their own.
	queues map[string]bool
}

// maxQueueLabels bounds the number of time series; an operator may configure thousands of queues.
const maxQueueLabels = 32

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		queues: map[string]bool{},
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "gateway", Name: "refusals_total", Help: "Refused calls by reason.",
		}, []string{"reason"}),
		submissions: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Subsystem: "gateway", Name: "submit_seconds",
			Help:    "Time until a job was durable, by result, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
		}, []string{"result"}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "gateway", Name: "forecast_decisions_total",
			Help: "Jobs that were too late by the forecast, or refused before, by queue and decision.",
		}, []string{"queue", "decision"}),
	}
	if r != nil {
		r.MustRegister(m.refusals, m.submissions, m.admissions)
	}
	return m
}

func (m *Metrics) refused(reason refusal.Reason) { m.refusals.WithLabelValues(string(reason)).Inc() }

func (m *Metrics) submitted(took time.Duration, err error) {
	result := "accepted"
	if err != nil {
		result = string(refusal.From(err).Reason)
	}
	m.submissions.WithLabelValues(result).Observe(took.Seconds())
}

// forecastDecision counts a decision about a job that was too late by the forecast, or refused before.
func (m *Metrics) forecastDecision(queue, decision string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.queues[queue] && len(m.queues) >= maxQueueLabels {
		queue = "other"
	} else {
		m.queues[queue] = true
	}
	m.admissions.WithLabelValues(queue, decision).Inc()
}
