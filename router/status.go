package router

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/telemetry"
)

// EndpointStatus is the state of one endpoint at this VM, for operators.
type EndpointStatus struct {
	Service  string `json:"service"`
	Name     string `json:"name"`
	Leaving  bool   `json:"leaving"`
	Ejected  bool   `json:"ejected"`
	InFlight int    `json:"in_flight"`
	// Lingering is the number of calls whose outcome is unknown; the endpoint may still run them.
	Lingering int `json:"lingering"`
	Allowance int `json:"allowance"`
	Lent      int `json:"lent"`
	Borrowed  int `json:"borrowed"`
	// Free is how many more calls may start now; it can be negative while calls of an earlier incarnation are in flight.
	Free int `json:"free"`
}

// Status returns the endpoint table, ordered by service and name.
func (r *Router) Status() []EndpointStatus {
	var all []EndpointStatus
	for _, p := range r.allPools() {
		all = append(all, p.status()...)
	}
	slices.SortFunc(all, func(a, b EndpointStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return all
}

func (p *pool) status() []EndpointStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	all := make([]EndpointStatus, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		all = append(all, EndpointStatus{
			Service: p.service, Name: e.name, Leaving: e.leaving(), Ejected: e.health.ejected(now),
			InFlight: e.slots.inFlight, Lingering: e.slots.lingering, Allowance: e.slots.allowance,
			Lent: e.slots.totalLent(), Borrowed: e.slots.totalBorrowed(now), Free: e.slots.free(now),
		})
	}
	return all
}

func (p *pool) waitingRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting.items)
}

// collector exports the state of the pools at each scrape.
type collector struct {
	router    *Router
	waiting   *prometheus.Desc
	inFlight  *prometheus.Desc
	lingering *prometheus.Desc
	endpoints *prometheus.Desc
}

func newCollector(r *Router) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(telemetry.Namespace, "router", name), help, labels, nil)
	}
	return &collector{
		router:    r,
		waiting:   describe("waiting", "Requests that wait for a slot.", "service"),
		inFlight:  describe("in_flight", "Calls of endpoints in flight.", "service"),
		lingering: describe("lingering", "Calls without an outcome that endpoints may still run.", "service"),
		endpoints: describe("endpoints", "Endpoints of the zone by state.", "service", "state"),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.waiting, c.inFlight, c.lingering, c.endpoints} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value int, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), labels...)
	}
	for _, p := range c.router.allPools() {
		inFlight, lingering := 0, 0
		states := map[string]int{"in_service": 0, "leaving": 0, "ejected": 0}
		for _, e := range p.status() {
			inFlight += e.InFlight
			lingering += e.Lingering
			states[e.state()]++
		}
		gauge(c.waiting, p.waitingRequests(), p.service)
		gauge(c.inFlight, inFlight, p.service)
		gauge(c.lingering, lingering, p.service)
		for state, n := range states {
			gauge(c.endpoints, n, p.service, state)
		}
	}
}

func (e EndpointStatus) state() string {
	switch {
	case e.Leaving:
		return "leaving"
	case e.Ejected:
		return "ejected"
	}
	return "in_service"
}
