package controller

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/telemetry"
)

// Metrics counts what the controller does.
type Metrics struct {
	decisions *prometheus.CounterVec
	orders    *prometheus.CounterVec
	stores    *prometheus.HistogramVec
	advices   *prometheus.HistogramVec
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "controller", Name: "decisions_total",
			Help: "Decisions about jobs, runs and workers by kind.",
		}, []string{"decision"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "controller", Name: "orders_total",
			Help: "Orders to workers by kind and result.",
		}, []string{"order", "result"}),
		stores: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Subsystem: "controller", Name: "store_seconds",
			Help:    "Duration of calls to the store by kind and result, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 10),
		}, []string{"call", "result"}),
		advices: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Subsystem: "controller", Name: "advice_seconds",
			Help:    "Duration of calls for advice by result, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 9),
		}, []string{"result"}),
	}
	if r != nil {
		r.MustRegister(m.decisions, m.orders, m.stores, m.advices)
	}
	return m
}

func (m *Metrics) decision(kind string) { m.decisions.WithLabelValues(kind).Inc() }

func (m *Metrics) order(kind string, err error) { m.orders.WithLabelValues(kind, label(err)).Inc() }

func (m *Metrics) store(call string, took time.Duration, err error) {
	m.stores.WithLabelValues(call, label(err)).Observe(took.Seconds())
}

func (m *Metrics) advice(took time.Duration, err error) {
	m.advices.WithLabelValues(label(err)).Observe(took.Seconds())
}

// labels are the errors that are told apart.
var labels = []struct {
	err  error
	name string
}{
	{infra.ErrNotSent, "not_sent"}, {infra.ErrRefused, "refused"}, {infra.ErrConflict, "conflict"},
	{infra.ErrFenced, "fenced"}, {infra.ErrOldRun, "old_run"}, {infra.ErrLeaseOver, "lease_over"},
	{infra.ErrWorkerFull, "full"}, {infra.ErrTicketInvalid, "ticket"}, {infra.ErrWorkerUnhealthy, "unhealthy"},
	{infra.ErrOtherWorker, "other_worker"}, {infra.ErrOrderInvalid, "invalid"}, {infra.ErrAdvisorBusy, "busy"},
}

func label(err error) string {
	if err == nil {
		return "ok"
	}
	for _, known := range labels {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return "unknown"
}
