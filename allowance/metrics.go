package allowance

import (
	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the counters of a manager.
type Metrics struct {
	written    prometheus.Counter
	conflicts  prometheus.Counter
	unknown    prometheus.Counter
	failed     prometheus.Counter
	unreadable prometheus.Counter
	asked      prometheus.Counter
	givenBack  prometheus.Counter
}

// NewMetrics returns counters, registered with registerer unless it is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "allowance", Name: name, Help: help,
		})
		if registerer != nil {
			registerer.MustRegister(c)
		}
		return c
	}
	return &Metrics{
		written:    counter("writes_total", "Splits written."),
		conflicts:  counter("conflicts_total", "Writes that found a split changed by another shard."),
		unknown:    counter("unknown_answers_total", "Writes without a known outcome at first."),
		failed:     counter("failed_reads_total", "Splits that could not be read."),
		unreadable: counter("unreadable_total", "Splits that are corrupt or of a newer format."),
		asked:      counter("asked_total", "Rounds of requests to other shards."),
		givenBack:  counter("given_back_total", "Requests of other shards answered with allowance."),
	}
}
