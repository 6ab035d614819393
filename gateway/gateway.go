// Package gateway accepts jobs on any machine. A job is accepted once the store holds it; the controller reads it from
// there. Job states come from the controller, or from the store when the controller cannot be reached.
package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/controller"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/refusal"
)

const (
	// storeTimeout bounds one call to the store; in its slow periods it responds within a quarter second.
	storeTimeout = 600 * time.Millisecond
	// storeRetryDelay is the delay between two attempts.
	storeRetryDelay = 30 * time.Millisecond
	// maxRefusedAttempts bounds the attempts of a read, and those of a write as long as the store has certainly executed
	// none of them.
	maxRefusedAttempts = 2
	// controllerTimeout bounds a call to the controller.
	controllerTimeout = 500 * time.Millisecond
	// responseMargin is the part of a caller's timeout that is reserved for sending the response.
	responseMargin = 150 * time.Millisecond
	// maxAnnouncements bounds the announcements in flight from one machine.
	maxAnnouncements = 64
	// retryAfter is the delay after which a refused caller should retry. The store and the controller fail over within
	// seconds.
	retryAfter = 500 * time.Millisecond
)

// Controller answers queries and receives announcements about jobs if this machine is the controller.
type Controller interface {
	Lookup(id string) (phase siskinv1.WorkflowPhase, known, authoritative bool)
	Pending(queue string) (pending int, authoritative bool)
	Announced(request *siskinv1.AnnounceRequest) bool
}

// Peers calls the controller on another machine.
type Peers interface {
	Lookup(ctx context.Context, address, id string) (*siskinv1.LookupWorkflowResponse, error)
	Pending(ctx context.Context, address, queue string) (*siskinv1.CountPendingResponse, error)
	Announce(ctx context.Context, address string, request *siskinv1.AnnounceRequest) (*siskinv1.AnnounceResponse, error)
	// Commit and Get call the store through the other machine and return the store's errors.
	Commit(ctx context.Context, address string, txn infra.Txn) (infra.Revision, error)
	Get(ctx context.Context, address, key string) (infra.KeyValue, error)
}

// Options configures a gateway.
type Options struct {
	Store  infra.TxnStore
	Clock  clock.Clock
	Log    logr.Logger
	Policy *policy.View
	// Machine is the name of this machine.
	Machine string
	// Local is the controller of this machine. Leader returns the last known controller, on any machine.
	Local  Controller
	Peers  Peers
	Leader func() *siskinv1.Leadership
	// MaxConfigAge is the greatest age of the configuration for calls that carry a key. A revoked key must stop working
	// even on a machine that is cut off from the store.
	MaxConfigAge time.Duration
	Metrics      *Metrics
	// Contact refuses calls while this machine is cut off; nil refuses none. Store must be observed by it.
	Contact *Contact
	// Forecast returns the forecast of the controller on this machine, or nil. It is nil itself if no job is refused because
	// of a forecast.
	Forecast func() *siskinv1.Forecast
}

// Gateway accepts, looks up and cancels jobs for callers.
type Gateway struct {
	options Options
	store   *relayedStore
	// announceSlots holds one element for each announcement in flight.
	announceSlots chan struct{}
	tombstones    teamBuckets
	// admission is nil if no job is refused because of a forecast.
	admission *admission
}

// New returns a gateway.
func New(options Options) *Gateway {
	if options.Contact != nil {
		options.Peers = observedPeers{options.Peers, options.Contact}
	}
	g := &Gateway{options: options, announceSlots: make(chan struct{}, maxAnnouncements)}
	g.tombstones.buckets = map[string]bucket{}
	if options.Forecast != nil {
		g.admission = newAdmission()
	}
	g.store = &relayedStore{
		store: options.Store, peers: options.Peers, clock: options.Clock, log: options.Log, controller: g.remoteController,
	}
	return g
}

// remoteController returns the address of the controller if it is on another machine, or "".
func (g *Gateway) remoteController() string {
	leader := g.options.Leader()
	if leader.GetMachine() == g.options.Machine {
		return ""
	}
	return leader.GetAddress()
}

// announce sends the controller what the store now holds, so that it need not wait for its watch. A lost announcement
// costs only that time.
func (g *Gateway) announce(request *siskinv1.AnnounceRequest) {
	sent, leader := g.options.Clock.Now(), g.options.Leader()
	if g.options.Local.Announced(request) {
		if g.admission != nil {
			g.admission.hold(g.options.Forecast(), sent, leader)
		}
		return
	}
	address := leader.GetAddress()
	if address == "" {
		return
	}
	select {
	case g.announceSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-g.announceSlots }()
		call, cancel := context.WithTimeout(context.Background(), controllerTimeout)
		defer cancel()
		response, err := g.options.Peers.Announce(call, address, request)
		if err != nil {
			g.options.Log.V(1).Info("announcement to the controller failed", "address", address, "reason", err.Error())
		} else if g.admission != nil {
			g.admission.hold(response.GetForecast(), sent, leader)
		}
	}()
}

// Target is the queue or job that a call is about, with the caller's team.
type Target struct {
	Queue *siskinv1.QueuePolicy
	Team  string
	// Job is empty if the call is about the queue.
	Job string
}

// Authorize returns the queue and the team of a call, or a refusal.
func (g *Gateway) Authorize(host, path, key string) (Target, error) {
	p := g.options.Policy.Current()
	age := g.options.Policy.Age()
	if p == nil {
		return Target{}, g.refuse("", refusal.StoreUnavailable, "no configuration yet")
	}
	queue, rest, ok := p.Match(host, path)
	if !ok {
		if age > g.options.MaxConfigAge {
			return Target{}, g.refuse("", refusal.KeyUnverifiable, "configuration is %d ms old", age.Milliseconds())
		}
		return Target{}, g.refuse("", refusal.NotFound, "no queue at host %.80q", host)
	}
	target := Target{Queue: queue, Job: rest}
	team, known := p.TeamOf(key)
	switch {
	case queue.GetOpen():
		target.Team = team
		return target, nil
	case age > g.options.MaxConfigAge:
		return Target{}, g.qualifyUnverified(rest, g.refuse(rest, refusal.KeyUnverifiable, "configuration is %d ms old", age.Milliseconds()))
	case !known:
		return Target{}, g.refuse(rest, refusal.KeyUnknown, "key is not in configuration %d", p.Version)
	}
	target.Team = team
	return target, nil
}

// refuse logs and counts a refusal.
func (g *Gateway) refuse(job string, reason refusal.Reason, format string, args ...any) *refusal.Error {
	refused := refusal.New(reason, format, args...)
	refused.RetryAfter = retryAfter
	g.options.Metrics.refused(reason)
	g.options.Log.Info("refused", "job", job, "reason", string(reason), "detail", refused.Message,
		"policy_age_ms", g.options.Policy.Age().Milliseconds())
	return refused
}

// Submit accepts a job. A nil error means that the store holds it. A refusal says "not run" only if no write can take
// effect any more. A job that its team has cancelled before is not accepted, also if the write takes effect late.
func (g *Gateway) Submit(ctx context.Context, record *siskinv1.Workflow) (err error) {
	attempt := newAttempt()
	end, err := g.beginAttempt(ctx, callSubmit, record.GetId())
	if err != nil {
		return err
	}
	defer func() { err = end(err) }()
	value, err := proto.Marshal(record)
	if err != nil {
		return g.refuse(record.GetId(), refusal.BadRequest, "%v", err)
	}
	if len(value) > infra.MaxValueBytes {
		refused := g.refuse(record.GetId(), refusal.JobTooLarge, "the job takes %d bytes, more than %d", len(value), infra.MaxValueBytes)
		refused.RetryAfter = 0
		return refused
	}
	refused, err := g.admit(ctx, record, attempt)
	if err != nil {
		return err
	}
	txn := infra.Txn{
		Conditions: []infra.Condition{
			{Key: controller.JobKey(record.GetId())},
			{Key: controller.TombstoneKey(record.GetId(), record.GetTeam()), Revision: refused},
		},
		Writes: []infra.Write{{Key: controller.JobKey(record.GetId()), Value: value}},
	}
	began := g.options.Clock.Now()
	created, err := g.write(ctx, record.GetId(), txn)
	if err == nil && !created {
		created, err = g.confirmAccepted(ctx, record.GetId(), txn, attempt)
	}
	g.admission.submitted(record, began, created, err)
	took := g.options.Clock.Now().Sub(began)
	g.options.Metrics.submitted(took, err)
	if err != nil {
		return err
	}
	g.options.Log.Info("accepted", "job", record.GetId(), "queue", record.GetQueue().GetName(), "team", record.GetTeam(),
		"new", created, "ms", took.Milliseconds())
	if created {
		g.announce(&siskinv1.AnnounceRequest{Job: record})
	}
	return nil
}

// confirmAccepted returns no error if the store holds a job that could not be created. A job that was refused before is
// written after all; created is then true.
func (g *Gateway) confirmAccepted(ctx context.Context, job string, txn infra.Txn, attempt attempt) (created bool, err error) {
	_, err = g.get(ctx, job, controller.JobKey(job))
	var refused *refusal.Error
	switch {
	case !errors.As(err, &refused):
		return false, err
	case refused.Reason == refusal.NotFound && g.admission != nil:
		return g.writeOverRefusal(ctx, job, txn, attempt)
	case refused.Reason == refusal.NotFound:
		return false, g.cancelledBefore(job)
	default:
		return false, g.refuse(job, refusal.AcceptanceUnknown, "%s", refused.Message)
	}
}

func (g *Gateway) cancelledBefore(job string) error {
	refused := g.refuse(job, refusal.CancelledBefore, "the job was cancelled before it was accepted")
	refused.RetryAfter = controller.TombstoneRetention
	return refused
}

// write commits an idempotent change, with retries. It reports whether the conditions held.
func (g *Gateway) write(ctx context.Context, job string, txn infra.Txn) (bool, error) {
	outcomeUnknown, refused := false, 0
	for ctx.Err() == nil {
		err := g.store.commit(ctx, txn)
		switch {
		case err == nil:
			return true, nil
		case errors.Is(err, infra.ErrConflict):
			return false, nil
		case isNotExecuted(err):
			refused++
			if !outcomeUnknown && refused >= maxRefusedAttempts {
				return false, g.refuse(job, refusal.StoreUnavailable, "%v", err)
			}
		default:
			outcomeUnknown = true
		}
		_ = g.options.Clock.Sleep(ctx, storeRetryDelay)
	}
	if outcomeUnknown {
		return false, g.refuse(job, refusal.AcceptanceUnknown, "the store has not answered in time")
	}
	return false, g.refuse(job, refusal.StoreUnavailable, "the store has not answered in time")
}

// Phase returns the phase of a job, from the controller if possible, else from the store.
func (g *Gateway) Phase(ctx context.Context, job string) (siskinv1.WorkflowPhase, error) {
	if phase, known, authoritative := g.options.Local.Lookup(job); authoritative && known {
		return phase, nil
	}
	if _, err := g.refuseCutOff(ctx, callPhase, job); err != nil {
		return 0, err
	}
	if leader := g.options.Leader(); leader.GetAddress() != "" {
		call, cancel := context.WithTimeout(ctx, controllerTimeout)
		answer, err := g.options.Peers.Lookup(call, leader.GetAddress(), job)
		cancel()
		if err == nil && answer.GetAuthoritative() && answer.GetKnown() {
			return answer.GetPhase(), nil
		}
	}
	return g.storedPhase(ctx, job)
}

// storedPhase reads the phase of a job from the store.
func (g *Gateway) storedPhase(ctx context.Context, job string) (siskinv1.WorkflowPhase, error) {
	if _, err := g.get(ctx, job, controller.JobKey(job)); err != nil {
		return 0, err
	}
	entry, err := g.get(ctx, job, controller.ProgressKey(job))
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Reason == refusal.NotFound {
		return siskinv1.WorkflowPhase_WORKFLOW_PHASE_QUEUED, nil
	}
	if err != nil {
		return 0, err
	}
	progress := &siskinv1.WorkflowProgress{}
	if err := proto.Unmarshal(entry.Value, progress); err != nil {
		return 0, g.refuse(job, refusal.InternalError, "progress cannot be read: %v", err)
	}
	if progress.GetPhase() == siskinv1.WorkflowPhase_WORKFLOW_PHASE_QUEUED {
		return siskinv1.WorkflowPhase_WORKFLOW_PHASE_RUNNING, nil
	}
	return progress.GetPhase(), nil
}

// get reads a key, with up to maxRefusedAttempts attempts within the caller's timeout.
func (g *Gateway) get(ctx context.Context, job, key string) (infra.KeyValue, error) {
	attempts := 0
	for ctx.Err() == nil {
		entry, err := g.store.get(ctx, key)
		if err == nil {
			return entry, nil
		}
		if errors.Is(err, infra.ErrNotFound) {
			return entry, refusal.New(refusal.NotFound, "no job %.40q", job)
		}
		if attempts++; attempts >= maxRefusedAttempts {
			break
		}
		_ = g.options.Clock.Sleep(ctx, storeRetryDelay)
	}
	return infra.KeyValue{}, g.refuse(job, refusal.StoreUnavailable, "the state of the job cannot be read")
}

// Pending returns how many jobs of a queue have not started.
func (g *Gateway) Pending(ctx context.Context, queue string) (int64, error) {
	if pending, authoritative := g.options.Local.Pending(queue); authoritative {
		return int64(pending), nil
	}
	if leader := g.options.Leader(); leader.GetAddress() != "" {
		call, cancel := context.WithTimeout(ctx, controllerTimeout)
		defer cancel()
		answer, err := g.options.Peers.Pending(call, leader.GetAddress(), queue)
		if err == nil && answer.GetAuthoritative() {
			return answer.GetPending(), nil
		}
	}
	return 0, g.refuse("", refusal.ShardUnavailable, "the controller cannot be reached")
}

// WithResponseTimeout returns a context that ends early enough to respond before the caller's wait is over.
func (g *Gateway) WithResponseTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(wait-responseMargin, responseMargin))
}
