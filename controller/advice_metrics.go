package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/telemetry"
)

// adviceMetrics are the metrics of the advisor's time as a budget, by queue.
type adviceMetrics struct {
	calls, seconds, starts, unused *prometheus.CounterVec
	firstTicket                    *prometheus.HistogramVec
}

func newAdviceMetrics() adviceMetrics {
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "controller", Name: name, Help: help,
		}, []string{"queue"})
	}
	return adviceMetrics{
		calls:   counter("advice_calls_total", "Calls for advice by queue."),
		seconds: counter("advice_cost_seconds_total", "Expected time of the advisor by queue, in seconds."),
		starts:  counter("advice_starts_total", "Planned starts with a ticket by queue."),
		unused:  counter("advice_unused_tickets_total", "Tickets that lapsed without a start by queue."),
		firstTicket: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Subsystem: "controller", Name: "first_ticket_seconds",
			Help:    "Time from when a step was ready to its first ticket by queue, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 13),
		}, []string{"queue"}),
	}
}

func (a *adviceMetrics) register(r prometheus.Registerer) {
	r.MustRegister(a.calls, a.seconds, a.starts, a.unused, a.firstTicket)
}

// adviceFigures records the figures of a queue.
func (m *Metrics) adviceFigures(f dispatch.AdviceFigures) {
	queue := m.queueLabel(f.Queue)
	m.budget.calls.WithLabelValues(queue).Add(float64(f.Calls))
	m.budget.seconds.WithLabelValues(queue).Add(f.Cost.Seconds())
	m.budget.starts.WithLabelValues(queue).Add(float64(f.Starts))
	m.budget.unused.WithLabelValues(queue).Add(float64(f.UnusedTickets))
	for _, d := range f.FirstTickets {
		m.budget.firstTicket.WithLabelValues(queue).Observe(d.Seconds())
	}
}
