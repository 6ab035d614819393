package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/telemetry"
)

const (
	// contactCheckInterval is the time between two evaluations of the contact. It adds to the time until a cut is noticed.
	contactCheckInterval = 50 * time.Millisecond
	// askTimeout bounds a call that asks whether the controller answers; with probeAfter it ends before cutOffAfter.
	askTimeout = 400 * time.Millisecond
	// askInterval is the time between two such calls. In an outage of the store all machines ask the controller.
	askInterval = 200 * time.Millisecond
	// minAskTime is the least time after which a call that its caller ended counts as unanswered.
	minAskTime = 200 * time.Millisecond
)

// Contact observes whether this machine reaches the store or the controller. A nil Contact observes nothing and never
// reports a cut.
type Contact struct {
	clock clock.Clock
	log   logr.Logger
	// zone is the availability zone of this machine.
	zone   string
	leader func() *siskinv1.Leadership

	mu    sync.Mutex // guards the fields below
	state contactState
	// cutSince is when the machine was found to be cut off; zero if it is not.
	cutSince time.Time
	// probing is true while a request probes whether the cut has ended.
	probing bool
	sent    sentJobs

	cuts     prometheus.Counter
	cutOff   prometheus.Gauge
	refusals *prometheus.CounterVec
}

// ContactOptions configures a Contact.
type ContactOptions struct {
	Clock clock.Clock
	Log   logr.Logger
	// Zone is the availability zone of this machine.
	Zone string
	// Leader returns the last known controller, on any machine.
	Leader func() *siskinv1.Leadership
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
}

// NewContact returns a Contact without observations.
func NewContact(options ContactOptions) *Contact {
	c := &Contact{
		clock: options.Clock, log: options.Log, zone: options.Zone, leader: options.Leader, sent: newSentJobs(),
		cuts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "gateway", Name: "cuts_total",
			Help: "How often this machine reached neither the store nor the controller.",
		}),
		cutOff: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Subsystem: "gateway", Name: "cut_off",
			Help: "1 while this machine reaches neither the store nor the controller, else 0.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "gateway", Name: "cut_off_refusals_total",
			Help: "Calls refused while this machine was cut off, by call and by what was stated (not_run, unknown).",
		}, []string{"call", "stated"}),
	}
	if options.Registerer != nil {
		options.Registerer.MustRegister(c.cuts, c.cutOff, c.refusals)
	}
	return c
}

// CutOff reports whether the machine reaches neither the store nor the controller, and for how long the store has been
// silent.
func (c *Contact) CutOff() (silent time.Duration, cutOff bool) {
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.evaluate(now)
	return c.state.silence(now), !c.cutSince.IsZero()
}

// record applies an observation to the state.
func (c *Contact) record(observe func(s *contactState, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	observe(&c.state, now)
	c.evaluate(now)
}

// evaluate logs and counts the begin and the end of a cut. The caller holds mu.
func (c *Contact) evaluate(now time.Time) {
	cutOff := c.state.isCutOff(now)
	switch {
	case cutOff && c.cutSince.IsZero():
		c.cutSince = now
		c.cuts.Inc()
		c.cutOff.Set(1)
		c.log.Info("cut off from store and controller; calls are refused", "silent_ms", c.state.silence(now).Milliseconds(),
			"controller", c.leader().GetMachine())
	case !cutOff && !c.cutSince.IsZero():
		by := "controller"
		if !c.state.unanswered {
			by = "store"
		}
		c.log.Info("no longer cut off", "ms", now.Sub(c.cutSince).Milliseconds(), "answered_by", by)
		c.cutSince = time.Time{}
		c.cutOff.Set(0)
	}
}

// Run asks the controller while the store is silent, until ctx ends. An idle machine makes no other call to it, and its
// last result may be old.
func (c *Contact) Run(ctx context.Context, self string, peers Peers) {
	asked := observedPeers{peers, c}
	for ctx.Err() == nil {
		_ = c.clock.Sleep(ctx, contactCheckInterval)
		c.mu.Lock()
		now := c.clock.Now()
		c.evaluate(now)
		ask := c.state.shouldAskController(now)
		c.mu.Unlock()
		if !ask {
			continue
		}
		leader := c.leader()
		if leader.GetAddress() == "" || leader.GetMachine() == self {
			c.record(func(s *contactState, now time.Time) { s.controllerFailed(now) })
		} else {
			call, cancel := context.WithTimeout(ctx, askTimeout)
			_, _ = asked.Lookup(call, leader.GetAddress(), "")
			cancel()
		}
		_ = c.clock.Sleep(ctx, askInterval)
	}
}

// observedPeers records whether the controller answers.
type observedPeers struct {
	Peers
	contact *Contact
}

// Lookup implements Peers.
func (p observedPeers) Lookup(ctx context.Context, address, id string) (*siskinv1.LookupWorkflowResponse, error) {
	sent := p.contact.clock.Now()
	answer, err := p.Peers.Lookup(ctx, address, id)
	p.observe(ctx, address, sent, answer.GetAuthoritative(), err)
	return answer, err
}

// Pending implements Peers.
func (p observedPeers) Pending(ctx context.Context, address, queue string) (*siskinv1.CountPendingResponse, error) {
	sent := p.contact.clock.Now()
	answer, err := p.Peers.Pending(ctx, address, queue)
	p.observe(ctx, address, sent, answer.GetAuthoritative(), err)
	return answer, err
}

// Commit implements Peers. A relayed call that fails is no evidence against the controller: the store may be silent for
// the controller as well.
func (p observedPeers) Commit(ctx context.Context, address string, txn infra.Txn) (infra.Revision, error) {
	revision, err := p.Peers.Commit(ctx, address, txn)
	if isConclusive(err) {
		p.contact.record(func(s *contactState, now time.Time) { s.controllerAnswered(now) })
	}
	return revision, err
}

// Get implements Peers.
func (p observedPeers) Get(ctx context.Context, address, key string) (infra.KeyValue, error) {
	entry, err := p.Peers.Get(ctx, address, key)
	if isConclusive(err) {
		p.contact.record(func(s *contactState, now time.Time) { s.controllerAnswered(now) })
	}
	return entry, err
}

// observe records the result of a call. A machine of this availability zone that is not the controller any more may be
// cut off together with this one, so only the controller or a machine of another zone counts as reached.
func (p observedPeers) observe(ctx context.Context, address string, sent time.Time, authoritative bool, err error) {
	leader := p.contact.leader()
	elsewhere := leader.GetAddress() == address && leader.GetZone() != p.contact.zone
	p.contact.record(func(s *contactState, now time.Time) {
		switch {
		case err == nil && (authoritative || elsewhere):
			s.controllerAnswered(now)
		case ctx.Err() == nil || now.Sub(sent) >= minAskTime:
			s.controllerFailed(now)
		}
	})
}
