package shardlog

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the metrics of all logs of a process.
type Metrics struct {
	commits        prometheus.Counter
	records        prometheus.Counter
	seconds        prometheus.Histogram
	unknown        prometheus.Counter
	resolved       prometheus.Counter
	fenced         prometheus.Counter
	refused        prometheus.Counter
	corrupt        prometheus.Counter
	snapshots      prometheus.Counter
	snapshotFailed prometheus.Counter
	deleted        prometheus.Counter
}

// NewMetrics returns metrics, registered with registerer unless it is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	meter := telemetry.NewMeter(registerer, "log")
	return &Metrics{
		seconds:        meter.Histogram("commit_seconds", "Duration of group commits.", prometheus.ExponentialBuckets(0.001, 2, 14)),
		commits:        meter.Counter("commits_total", "Group commits that succeeded."),
		records:        meter.Counter("records_total", "Records made durable."),
		unknown:        meter.Counter("unknown_answers_total", "Writes of entries without a known outcome at first."),
		resolved:       meter.Counter("resolved_answers_total", "Own entries found by reading back."),
		fenced:         meter.Counter("fenced_total", "Appends that found the entry of another owner."),
		refused:        meter.Counter("refused_appends_total", "Appends refused because too many records wait."),
		corrupt:        meter.Counter("corrupt_values_total", "Logs that were not opened because of a corrupt or newer value."),
		snapshots:      meter.Counter("snapshots_total", "Snapshots written."),
		snapshotFailed: meter.Counter("failed_snapshots_total", "Snapshots that were given up."),
		deleted:        meter.Counter("deleted_keys_total", "Entries and chunks deleted after a snapshot."),
	}
}

func (m *Metrics) committed(records int, took time.Duration) {
	m.commits.Inc()
	m.records.Add(float64(records))
	m.seconds.Observe(took.Seconds())
}
