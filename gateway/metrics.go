package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the metrics of refusals and submissions.
type Metrics struct {
	refusals    *prometheus.CounterVec
	submissions *prometheus.HistogramVec
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "gateway", Name: "refusals_total", Help: "Refused calls by reason.",
		}, []string{"reason"}),
		submissions: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Subsystem: "gateway", Name: "submit_seconds",
			Help:    "Time until a job was durable, by result, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
		}, []string{"result"}),
	}
	if r != nil {
		r.MustRegister(m.refusals, m.submissions)
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
