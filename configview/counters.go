package configview

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"siskinstack.example/siskinstack/telemetry"
)

type counters struct {
	rejected          prometheus.Counter
	regressions       prometheus.Counter
	listings          prometheus.Counter
	storeFailures     prometheus.Counter
	peerConfirmations prometheus.Counter
	imports           prometheus.Counter
}

func newCounters(registerer prometheus.Registerer) *counters {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Namespace: telemetry.Namespace, Subsystem: "config", Name: name, Help: help})
	}
	return &counters{
		rejected:          counter("rejected_values_total", "Configuration values that did not decode or verify."),
		regressions:       counter("store_revision_regressions_total", "Store answers with a lower revision than an earlier answer."),
		listings:          counter("listings_total", "Listings of the configuration."),
		storeFailures:     counter("store_failures_total", "Failed store calls of the configuration view."),
		peerConfirmations: counter("peer_confirmations_total", "Confirmations of the view by all other entry VMs."),
		imports:           counter("peer_imports_total", "Views taken over from other entry VMs."),
	}
}
