package ownership

import (
	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the metrics of a manager.
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

// NewMetrics returns metrics, registered with registerer unless it is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	meter := telemetry.NewMeter(registerer, "ownership")
	return &Metrics{
		held:            meter.Gauge("held_shards", "Shards owned by this VM."),
		acquired:        meter.Counter("acquired_total", "Shards acquired."),
		lost:            meter.Counter("lost_total", "Shards lost or given up."),
		declined:        meter.Counter("declined_total", "Shards given up because they could not be opened."),
		unknown:         meter.Counter("unknown_answers_total", "Acquisitions without a known outcome at first."),
		renewalsFailed:  meter.Counter("failed_renewals_total", "Lease renewals that the store did not answer."),
		extended:        meter.Counter("promise_extensions_total", "Rights extended by promises of all peers."),
		promisesGiven:   meter.Counter("promises_given_total", "Promises given to peers."),
		promisesRefused: meter.Counter("promises_refused_total", "Promises refused to peers."),
	}
}
