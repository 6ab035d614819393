package controller

import (
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/telemetry"
)

// Metrics are the metrics of the controller.
type Metrics struct {
	decisions   *prometheus.CounterVec
	orders      *prometheus.CounterVec
	adviceCalls *prometheus.HistogramVec
	waiting     *prometheus.CounterVec
	stages      *prometheus.HistogramVec
	recoveries  prometheus.Histogram
	beyond      prometheus.Counter
	forecasts   *prometheus.CounterVec
	stopWork    *prometheus.CounterVec

	budget adviceMetrics

	mu sync.Mutex // guards queues
	// queues are the queues with a label value of their own.
	queues map[string]bool
}

const (
	// maxQueueLabels bounds the number of time series; an operator may configure thousands of queues.
	maxQueueLabels = 32
	// otherQueues is the label value of all further queues.
	otherQueues = "other"
)

// queueLabel returns the label value of a queue: its name for the first maxQueueLabels queues that have jobs.
func (m *Metrics) queueLabel(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.queues[name] && len(m.queues) >= maxQueueLabels {
		return otherQueues
	}
	m.queues[name] = true
	return name
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		queues: map[string]bool{},
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "controller", Name: "decisions_total",
			Help: "Decisions about jobs, runs and workers by kind.",
		}, []string{"decision"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "controller", Name: "orders_total",
			Help: "Orders to workers by kind and result.",
		}, []string{"order", "result"}),
		adviceCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Subsystem: "controller", Name: "advice_seconds",
			Help:    "Duration of calls for advice by result, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 9),
		}, []string{"result"}),
	}
	m.addJobMetrics()
	m.budget = newAdviceMetrics()
	if r != nil {
		r.MustRegister(m.decisions, m.orders, m.adviceCalls, m.waiting, m.stages, m.recoveries, m.beyond, m.forecasts,
			m.stopWork)
		m.budget.register(r)
	}
	return m
}

// addJobMetrics adds the metrics of a job's lifecycle and of recovery.
func (m *Metrics) addJobMetrics() {
	m.waiting = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Subsystem: "controller", Name: "waits_total",
		Help: "Steps that began to wait for a worker, or went on for another reason, by reason.",
	}, []string{"reason"})
	m.stages = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: telemetry.Namespace, Subsystem: "controller", Name: "stage_seconds",
		Help:    "Time from the acceptance of a job to a stage of its life, by stage, queue and the queue's priority, in seconds.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 15),
	}, []string{"stage", "queue", "priority"})
	m.beyond = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Subsystem: "controller", Name: "runs_beyond_prediction_total",
		Help: "Runs that took longer than the predicted bound that 19 in 20 runs keep.",
	})
	m.recoveries = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: telemetry.Namespace, Subsystem: "controller", Name: "recover_seconds",
		Help:    "Time from the start of a controller's term until it knew the state, in seconds; one for each term.",
		Buckets: prometheus.ExponentialBuckets(0.01, 2, 10),
	})
	m.forecasts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Subsystem: "controller", Name: "forecast_waits_total",
		Help: "Jobs by queue and by whether they began before, within or after the bounds of their forecast.",
	}, []string{"queue", "began"})
	m.stopWork = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Subsystem: "controller", Name: "preemption_core_seconds_total",
		Help: "Estimated core-seconds that stops for urgent work lost, and those of the urgent work that took the capacity, by kind.",
	}, []string{"kind"})
}

// forecastOutcome counts the wait of a job beside its forecast.
func (m *Metrics) forecastOutcome(o dispatch.ForecastOutcome) {
	began := "within"
	switch {
	case o.Waited < o.Forecast.Lower:
		began = "before"
	case o.Waited > o.Forecast.Upper:
		began = "after"
	}
	m.forecasts.WithLabelValues(m.queueLabel(o.Forecast.Queue), began).Inc()
}

// preempted records the estimated core-seconds that stops lost and those of the urgent work for which they made room.
func (m *Metrics) preempted(lost, urgent float64) {
	m.stopWork.WithLabelValues("lost").Add(lost)
	m.stopWork.WithLabelValues("urgent").Add(urgent)
}

func (m *Metrics) waits(reason dispatch.WaitReason) { m.waiting.WithLabelValues(string(reason)).Inc() }

func (m *Metrics) recovered(took time.Duration) { m.recoveries.Observe(took.Seconds()) }

// Stages of a job's lifecycle.
const (
	stageReceived = "taken_in" // known to the controller
	stageStarted  = "started"  // the first run has begun
	stageEnded    = "ended"    // the end is durable and shown
)

// stage records that a job has reached a stage. Jobs with occurrences are left out: they wait for their due times.
func (m *Metrics) stage(stage string, record *siskinv1.Workflow) {
	if record.GetOccurrences() > 0 {
		return
	}
	took := time.Duration(unixMs()-record.GetAcceptedUnixMs()) * time.Millisecond
	queue := record.GetQueue()
	m.stages.WithLabelValues(stage, m.queueLabel(queue.GetName()), strconv.Itoa(int(queue.GetPriority()))).Observe(took.Seconds())
}

func (m *Metrics) decision(kind string) { m.decisions.WithLabelValues(kind).Inc() }

func (m *Metrics) order(kind string, err error) {
	m.orders.WithLabelValues(kind, errorLabel(err)).Inc()
}

func (m *Metrics) advice(took time.Duration, err error) {
	m.adviceCalls.WithLabelValues(errorLabel(err)).Observe(took.Seconds())
}

// labelUnknown is the label value of an order whose outcome is not known.
const labelUnknown = "unknown"

// errorLabels are the label values of known errors; all others have labelUnknown.
var errorLabels = []struct {
	err  error
	name string
}{
	{infra.ErrNotPermitted, "not_permitted"}, {infra.ErrNotSent, "not_sent"}, {infra.ErrRefused, "refused"}, {infra.ErrRejected, "rejected"}, {infra.ErrConflict, "conflict"},
	{infra.ErrFenced, "fenced"}, {infra.ErrStaleRun, "old_run"}, {infra.ErrOrderLeaseExpired, "lease_over"},
	{infra.ErrWorkerFull, "full"}, {infra.ErrTicketInvalid, "ticket"}, {infra.ErrWorkerUnhealthy, "unhealthy"},
	{infra.ErrWorkerMismatch, "other_worker"}, {infra.ErrOrderInvalid, "invalid"}, {infra.ErrAdvisorBusy, "busy"},
	{infra.ErrMachineBusy, "machine_busy"}, {infra.ErrMachineUnknown, "machine_unknown"}, {infra.ErrNotInWave, "not_in_wave"},
}

func errorLabel(err error) string {
	if err == nil {
		return "ok"
	}
	for _, known := range errorLabels {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return labelUnknown
}
