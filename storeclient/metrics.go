package storeclient

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/telemetry"
)

type metrics struct {
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer, c *Client) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "store", Name: "calls_total",
			Help: "Calls to the store by kind, call and result. An open watch counts as one call.",
		}, []string{"kind", "call", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Subsystem: "store", Name: "call_seconds",
			Help: "Duration of calls to the store, watches excepted.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"kind"}),
	}
	condition := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Subsystem: "store", Name: "condition",
		Help: "Health of the store: 0 healthy, 1 slow, 2 down.",
	}, func() float64 { return float64(c.State().Condition) })
	if registerer != nil {
		registerer.MustRegister(m.calls, m.seconds, condition)
	}
	return m
}

func (m *metrics) count(kind Kind, name string, outcome result) {
	m.calls.WithLabelValues(kind.String(), name, string(outcome)).Inc()
}

func (m *metrics) observe(kind Kind, took time.Duration) {
	m.seconds.WithLabelValues(kind.String()).Observe(took.Seconds())
}
