package telemetry

import "github.com/prometheus/client_golang/prometheus"

// Meter creates and registers the metrics of one subsystem.
type Meter struct {
	registerer prometheus.Registerer
	subsystem  string
}

// NewMeter returns a meter for a subsystem; without a registerer its metrics are collected but not exported.
func NewMeter(registerer prometheus.Registerer, subsystem string) Meter {
	return Meter{registerer: registerer, subsystem: subsystem}
}

func (m Meter) options(name, help string) prometheus.Opts {
	return prometheus.Opts{Namespace: Namespace, Subsystem: m.subsystem, Name: name, Help: help}
}

func register[C prometheus.Collector](m Meter, collector C) C {
	if m.registerer != nil {
		m.registerer.MustRegister(collector)
	}
	return collector
}

// Counter returns a counter.
func (m Meter) Counter(name, help string) prometheus.Counter {
	return register(m, prometheus.NewCounter(prometheus.CounterOpts(m.options(name, help))))
}

// Counters returns a vector of counters, one for each combination of label values.
func (m Meter) Counters(name, help string, labels ...string) *prometheus.CounterVec {
	return register(m, prometheus.NewCounterVec(prometheus.CounterOpts(m.options(name, help)), labels))
}

// Gauge returns a gauge.
func (m Meter) Gauge(name, help string) prometheus.Gauge {
	return register(m, prometheus.NewGauge(prometheus.GaugeOpts(m.options(name, help))))
}

// Histogram returns a histogram with the given bucket bounds.
func (m Meter) Histogram(name, help string, buckets []float64) prometheus.Histogram {
	return register(m, prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: Namespace, Subsystem: m.subsystem, Name: name, Help: help, Buckets: buckets,
	}))
}
