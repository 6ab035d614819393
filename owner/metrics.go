package owner

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the counters of all owners of a process.
type Metrics struct {
	takeovers *prometheus.CounterVec
	starts    *prometheus.CounterVec
	stops     *prometheus.CounterVec
	throttles *prometheus.CounterVec
	renewals  *prometheus.CounterVec
	ends      *prometheus.CounterVec
	staleRuns *prometheus.CounterVec
	accepted  *prometheus.CounterVec
	moved     *prometheus.CounterVec
}

// NewMetrics registers the counters.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	meter := telemetry.NewMeter(registerer, "owner")
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return meter.Counters(name, help, append([]string{"shard"}, labels...)...)
	}
	return &Metrics{
		takeovers: counter("takeovers_total", "Times that this VM has taken the shard over."),
		starts:    counter("starts_total", "Start calls to workers by result.", "result"),
		stops:     counter("stops_total", "Stop calls to workers by reason and result.", "reason", "result"),
		throttles: counter("throttles_total", "Throttle calls to workers by result.", "result"),
		renewals:  counter("renewals_total", "Renewal calls to workers by result.", "result"),
		ends:      counter("task_ends_total", "Ends of attempts by outcome.", "outcome"),
		staleRuns: counter("stale_runs_total", "Running attempts that were stopped because they are not the current one."),
		accepted:  counter("jobs_accepted_total", "Jobs made durable, or found again by their request key.", "result"),
		moved:     counter("tasks_moved_total", "Tasks given to another shard."),
	}
}

func (m *Metrics) start(shard string, err error) {
	m.starts.WithLabelValues(shard, result(err)).Inc()
}

func (m *Metrics) stop(shard, reason string, err error) {
	m.stops.WithLabelValues(shard, reason, result(err)).Inc()
}

func (m *Metrics) throttle(shard string, err error) {
	m.throttles.WithLabelValues(shard, result(err)).Inc()
}

func (m *Metrics) renewal(shard string, err error) {
	m.renewals.WithLabelValues(shard, result(err)).Inc()
}

func (m *Metrics) ended(shard string, outcome scheduler.Outcome) {
	m.ends.WithLabelValues(shard, outcomeName(outcome)).Inc()
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, infra.ErrInsufficientCapacity):
		return "no_room"
	case errors.Is(err, infra.ErrStaleEpoch):
		return "stale_epoch"
	case certainlyNotStarted(err):
		return "not_done"
	default:
		return "uncertain"
	}
}

func outcomeName(outcome scheduler.Outcome) string {
	names := map[scheduler.Outcome]string{
		scheduler.Succeeded: "succeeded", scheduler.Failed: "failed", scheduler.Stopped: "stopped",
		scheduler.Lost: "lost", scheduler.Unknown: "unknown", scheduler.Cancelled: "cancelled",
	}
	return names[outcome]
}
