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
	options := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "membership", Name: name, Help: help,
		}
	}
	m := &Metrics{
		sent:          prometheus.NewCounter(options("heartbeats_total", "Heartbeats sent.")),
		failed:        prometheus.NewCounter(options("failed_heartbeats_total", "Heartbeats without a response.")),
		rejected:      prometheus.NewCounter(options("rejected_heartbeats_total", "Heartbeats of unknown or replaced VMs.")),
		sentBytes:     prometheus.NewCounter(options("sent_bytes_total", "Encoded size of heartbeats sent.")),
		receivedBytes: prometheus.NewCounter(options("received_bytes_total", "Encoded size of heartbeats received.")),
		changes: prometheus.NewCounterVec(
			options("status_changes_total", "Changes of a peer's status, by the new status."), []string{"status"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.sent, m.failed, m.rejected, m.sentBytes, m.receivedBytes, m.changes)
	}
	return m
}
