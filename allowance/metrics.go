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
	meter := telemetry.NewMeter(registerer, "allowance")
	return &Metrics{
		written:    meter.Counter("writes_total", "Splits written."),
		conflicts:  meter.Counter("conflicts_total", "Writes that found a split changed by another shard."),
		unknown:    meter.Counter("unknown_answers_total", "Writes without a known outcome at first."),
		failed:     meter.Counter("failed_reads_total", "Splits that could not be read."),
		unreadable: meter.Counter("unreadable_total", "Splits that are corrupt or of a newer format."),
		asked:      meter.Counter("asked_total", "Rounds of requests to other shards."),
		givenBack:  meter.Counter("given_back_total", "Requests of other shards answered with allowance."),
	}
}
