package membership

import (
	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the counters of heartbeats.
type Metrics struct {
	sent          prometheus.Counter
	failed        prometheus.Counter
	rejected      prometheus.Counter
	sentBytes     prometheus.Counter
	receivedBytes prometheus.Counter
	changes       *prometheus.CounterVec
}

// NewMetrics returns counters, registered with registerer unless it is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	meter := telemetry.NewMeter(registerer, "membership")
	return &Metrics{
		sent:          meter.Counter("heartbeats_total", "Heartbeats sent."),
		failed:        meter.Counter("failed_heartbeats_total", "Heartbeats without a response."),
		rejected:      meter.Counter("rejected_heartbeats_total", "Heartbeats of unknown or replaced VMs."),
		sentBytes:     meter.Counter("sent_bytes_total", "Encoded size of heartbeats sent."),
		receivedBytes: meter.Counter("received_bytes_total", "Encoded size of heartbeats received."),
		changes:       meter.Counters("status_changes_total", "Changes of a peer's status, by the new status.", "status"),
	}
}
