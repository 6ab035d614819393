package ownership

import (
	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the counters of a manager.
type Metrics struct {
	held            prometheus.Gauge
	acquired        prometheus.Counter
	lost            prometheus.Counter
	declined        prometheus.Counter
	unknown         prometheus.Counter
	renewalsFailed  prometheus.Counter
	extended        prometheus.Counter
	promisesGiven   prometheus.Counter
	promisesRefused prometheus.Counter
}

// NewMetrics returns counters, registered with registerer unless it is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "ownership", Name: name, Help: help,
		})
		if registerer != nil {
			registerer.MustRegister(c)
		}
		return c
	}
	m := &Metrics{
		acquired:        counter("acquired_total", "Shards acquired."),
		lost:            counter("lost_total", "Shards lost or given up."),
		declined:        counter("declined_total", "Shards given up because they could not be opened."),
		unknown:         counter("unknown_answers_total", "Acquisitions without a known outcome at first."),
		renewalsFailed:  counter("failed_renewals_total", "Lease renewals that the store did not answer."),
		extended:        counter("promise_extensions_total", "Rights extended by promises of all peers."),
		promisesGiven:   counter("promises_given_total", "Promises given to peers."),
		promisesRefused: counter("promises_refused_total", "Promises refused to peers."),
	}
	m.held = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Subsystem: "ownership", Name: "held_shards", Help: "Shards owned by this VM.",
	})
	if registerer != nil {
		registerer.MustRegister(m.held)
	}
	return m
}
