package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/telemetry"
)

// Values of the label cause of answers_dropped_total.
const (
	causeMismatch   = "mismatch"
	causeIncomplete = "incomplete"
)

type metrics struct {
	attempts      *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	retries       prometheus.Counter
	retriesDenied prometheus.Counter
	forwarded     *prometheus.CounterVec
	lent          prometheus.Counter
	borrowed      prometheus.Counter
	listErrors    prometheus.Counter
	loadErrors    prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "router", Name: name, Help: help,
		})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "router", Name: name, Help: help,
		}, []string{label})
	}
	m := &metrics{
		attempts:      vector("attempts_total", "Calls of endpoints by outcome.", "outcome"),
		dropped:       vector("answers_dropped_total", "Answers of endpoints and VMs that were dropped.", "cause"),
		retries:       counter("retries_total", "Further attempts of a request."),
		retriesDenied: counter("retries_denied_total", "Retries that the budget did not allow."),
		forwarded:     vector("forwarded_total", "Requests passed to another zone by result.", "result"),
		lent:          counter("slots_lent_total", "Slots lent to VMs of the zone."),
		borrowed:      counter("slots_borrowed_total", "Slots borrowed from VMs of the zone."),
		listErrors:    counter("list_errors_total", "Failed reads of the VM list."),
		loadErrors:    counter("load_errors_total", "Load questions without an answer."),
	}
	if registry != nil {
		registry.MustRegister(m.attempts, m.dropped, m.retries, m.retriesDenied, m.forwarded, m.lent, m.borrowed,
			m.listErrors, m.loadErrors)
	}
	return m
}

func (o outcome) String() string {
	switch o {
	case outcomeAnswered:
		return "answered"
	case outcomeNotRun:
		return "not_run"
	case outcomeBusy:
		return "busy"
	case outcomeLeaving:
		return "leaving"
	case outcomeNotSent:
		return "not_sent"
	case outcomeContextDone:
		return "cut"
	default:
		return "unknown"
	}
}
