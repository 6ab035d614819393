package shardlog

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the counters of all logs of a process.
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

// NewMetrics returns counters, registered with registerer unless it is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "log", Name: name, Help: help,
		})
		if registerer != nil {
			registerer.MustRegister(c)
		}
		return c
	}
	m := &Metrics{
		commits:        counter("commits_total", "Group commits that succeeded."),
		records:        counter("records_total", "Records made durable."),
		unknown:        counter("unknown_answers_total", "Writes of entries without a known outcome at first."),
		resolved:       counter("resolved_answers_total", "Own entries found by reading back."),
		fenced:         counter("fenced_total", "Appends that found the entry of another owner."),
		refused:        counter("refused_appends_total", "Appends refused because too many records wait."),
		corrupt:        counter("corrupt_values_total", "Logs that were not opened because of a corrupt or newer value."),
		snapshots:      counter("snapshots_total", "Snapshots written."),
		snapshotFailed: counter("failed_snapshots_total", "Snapshots that were given up."),
		deleted:        counter("deleted_keys_total", "Entries and chunks deleted after a snapshot."),
	}
	m.seconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: telemetry.Namespace, Subsystem: "log", Name: "commit_seconds",
		Help: "Duration of group commits.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	})
	if registerer != nil {
		registerer.MustRegister(m.seconds)
	}
	return m
}

func (m *Metrics) committed(records int, took time.Duration) {
	m.commits.Inc()
	m.records.Add(float64(records))
	m.seconds.Observe(took.Seconds())
}
