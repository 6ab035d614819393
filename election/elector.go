package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

const (
	// leaderPrefix is the prefix of the keys below.
	leaderPrefix = "lead/"
	// leaderKey names the controller.
	leaderKey = leaderPrefix + "owner"
	// suspicionsKey names the controllers whose hosts have refused connections.
	suspicionsKey = leaderPrefix + "suspicions"
	// watchWait is how long the store holds a watch open.
	watchWait = 3 * time.Second
	// watchSlack is added to watchWait to get the timeout of the call. That is the longest time for which a lost response
	// delays a change.
	watchSlack = 700 * time.Millisecond
)

// Elector acquires the leadership for this machine when there is no controller.
type Elector struct {
	Store   infra.TxnStore
	Session *Session
	Clock   clock.Clock
	Log     logr.Logger
	Self    *siskinv1.Leadership
	// AcquireDelay returns how long this machine waits before it acquires a free leadership. Stronger machines wait less.
	AcquireDelay func() time.Duration
	// MayTakeOverEarly reports whether this machine should replace a controller whose process has probably ended before its
	// lease ends. A weak machine would preempt stronger ones that are about to be back.
	MayTakeOverEarly func() bool
	// Serve acts as the controller until its context ends.
	Serve func(ctx context.Context, term *Term)
	// Handover is closed when a term in progress has to end; if it is nil, terms end with the context of Run. A machine that
	// is about to stop acquires no leadership, but goes on as the controller for a while, so that planned stops of one
	// machine after the other do not change the controller each time.
	Handover <-chan struct{}
	// AwaitRefusal returns nil once the host of a controller refuses connections, and an error if ctx ends first.
	AwaitRefusal func(ctx context.Context, leader *siskinv1.Leadership) error

	// contest is used only by Run.
	contest contest

	mu     sync.Mutex // guards the fields below
	leader *siskinv1.Leadership
	// leaderRefuses is closed when the leader's host refuses connections; stopObserving cancels the wait for that.
	leaderRefuses chan struct{}
	stopObserving context.CancelFunc
}

// Leader returns the machine that is the controller as far as known, or nil.
func (e *Elector) Leader() *siskinv1.Leadership {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// setLeader records the controller and starts to observe its host.
func (e *Elector) setLeader(ctx context.Context, leader *siskinv1.Leadership) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.GetMachine() == leader.GetMachine() && e.leader.GetIncarnation() == leader.GetIncarnation() {
		return
	}
	e.leader = leader
	e.Log.Info("controller known", "controller", leader.GetMachine(), "incarnation", leader.GetIncarnation())
	e.observe(ctx, 0)
}

// leaderState is the controller's entry in the store, and the suspicions of controllers.
type leaderState struct {
	entry     infra.KeyValue
	exists    bool
	suspected infra.KeyValue
	revision  infra.Revision
}

// apply applies a change of one of the two keys.
func (s *leaderState) apply(event infra.Event) {
	switch event.Key {
	case leaderKey:
		s.entry, s.exists = event.KeyValue, !event.Deleted
	case suspicionsKey:
		s.suspected = infra.KeyValue{}
		if !event.Deleted {
			s.suspected = event.KeyValue
		}
	}
}

// Run watches the leadership, and acquires it when it is free, until ctx ends. A term in progress goes on until Handover is
// closed.
func (e *Elector) Run(ctx context.Context) {
	e.mu.Lock()
	e.observe(ctx, 0)
	e.mu.Unlock()
	for ctx.Err() == nil {
		changed := e.Session.Changed()
		state, err := e.readUntil(ctx, changed)
		if err != nil {
			e.waitToRetry(ctx, changed)
			continue
		}
		e.follow(ctx, state)
	}
}

// waitToRetry waits before a failed call is retried, or until another lease comes into force. changed must be obtained
// before that call, because a lease may come into force while it fails. Without a lease, the wait is longer: the
// session detects that the store serves this machine again, so that only one of the two keeps calling it.
func (e *Elector) waitToRetry(ctx context.Context, changed <-chan struct{}) {
	wait := retryDelay
	if _, valid := e.Session.Lease(); !valid {
		wait = noLeaseRetryDelay
	}
	call, cancel := withLeaseSignal(ctx, wait, changed)
	defer cancel()
	<-call.Done()
}

// withLeaseSignal returns a context for a call that is cancelled when another lease comes into force: the store then
// serves this machine again, and a call from before that may never get a response.
func withLeaseSignal(
	ctx context.Context, timeout time.Duration, changed <-chan struct{},
) (context.Context, context.CancelFunc) {
	call, cancel := context.WithTimeout(ctx, timeout)
	go cancelOnSignal(call, cancel, changed)
	return call, cancel
}

// cancelOnSignal cancels a call when signal is closed.
func cancelOnSignal(call context.Context, cancel context.CancelFunc, signal <-chan struct{}) {
	select {
	case <-signal:
		cancel()
	case <-call.Done():
	}
}

// readUntil returns the current state. The call is cancelled when another lease comes into force.
func (e *Elector) readUntil(ctx context.Context, changed <-chan struct{}) (leaderState, error) {
	call, cancel := withLeaseSignal(ctx, callTimeout, changed)
	defer cancel()
	return e.read(call)
}

// read returns the current state.
func (e *Elector) read(ctx context.Context) (leaderState, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := e.Store.List(call, leaderPrefix)
	if err != nil {
		return leaderState{}, err
	}
	state := leaderState{revision: listing.Revision}
	for _, entry := range listing.Entries {
		state.apply(infra.Event{KeyValue: entry})
	}
	return state, nil
}

// follow acts on the entry and on its changes until a watch fails.
func (e *Elector) follow(ctx context.Context, state leaderState) {
	for ctx.Err() == nil {
		changed := e.Session.Changed()
		e.act(ctx, state)
		if ctx.Err() != nil {
			return
		}
		if _, valid := e.Session.Lease(); !valid && (!state.exists || isOwnEntry(state, e.Self)) {
			e.waitToRetry(ctx, changed)
			continue
		}
		next, err := e.watch(ctx, state, changed)
		if err != nil {
			return
		}
		state = next
	}
}

func (e *Elector) watch(ctx context.Context, state leaderState, changed <-chan struct{}) (leaderState, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOnSignal(call, cancel, changed)
	wait := watchWait
	if _, valid := e.Session.Lease(); valid && e.MayTakeOverEarly() {
		if left, suspected := e.remaining(); suspected {
			wait = left
		} else if !e.contest.noted {
			go cancelOnSignal(call, cancel, e.refused())
		}
	}
	return e.watchFor(call, state, wait)
}

// watchFor returns the state after the next change, or after the given time.
func (e *Elector) watchFor(ctx context.Context, state leaderState, wait time.Duration) (leaderState, error) {
	call, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	result, err := e.Store.Watch(call, infra.WatchRequest{Prefix: leaderPrefix, After: state.revision, Wait: wait})
	if err != nil {
		return state, err
	}
	for _, event := range result.Events {
		state.apply(event)
	}
	state.revision = result.Revision
	return state, nil
}

// act acquires the leadership if it is free, and serves while this machine holds it.
func (e *Elector) act(ctx context.Context, state leaderState) {
	owner := &siskinv1.Leadership{}
	if state.exists {
		if err := proto.Unmarshal(state.entry.Value, owner); err != nil {
			e.Log.Error(err, "cannot decode the controller's entry; it is replaced when its lease ends")
			return
		}
	}
	e.contest.noted = false
	lease, valid := e.Session.Lease()
	own := state.exists && owner.GetMachine() == e.Self.GetMachine()
	switch {
	case own && owner.GetIncarnation() == e.Self.GetIncarnation() && state.entry.Lease == lease && valid:
		e.setLeader(ctx, owner)
		e.serve(ctx, state)
	case !valid:
		e.setLeader(ctx, owner)
	case !state.exists || own:
		// An entry of an earlier process of this machine is replaced at once: that process has ended.
		e.acquire(ctx, state, lease)
	default:
		e.setLeader(ctx, owner)
		e.contestLeader(ctx, state, owner, lease)
	}
}

// acquire acquires the leadership after the machine's delay, which leaves it to stronger ones.
func (e *Elector) acquire(ctx context.Context, state leaderState, lease infra.LeaseID) {
	if !isOwnEntry(state, e.Self) && e.Clock.Sleep(ctx, e.AcquireDelay()) != nil {
		return
	}
	e.commitLeadership(ctx, state, lease)
}

// commitLeadership makes this machine the controller if neither the entry nor the suspicions have changed, and serves.
func (e *Elector) commitLeadership(ctx context.Context, state leaderState, lease infra.LeaseID) {
	value, err := proto.Marshal(e.Self)
	if err != nil {
		e.Log.Error(err, "encode leadership")
		return
	}
	condition := infra.Condition{Key: leaderKey}
	if state.exists {
		condition.Revision = state.entry.Revision
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := e.Store.Commit(call, infra.Txn{
		Conditions: []infra.Condition{condition, state.suspicionCondition()},
		Writes:     []infra.Write{{Key: leaderKey, Value: value, Lease: lease}},
	})
	if err != nil {
		// The watch shows whether the write has taken effect.
		e.Log.V(1).Info("leadership not acquired", "reason", err.Error())
		if !errors.Is(err, infra.ErrConflict) {
			_ = e.Clock.Sleep(ctx, retryDelay)
		}
		return
	}
	e.setLeader(ctx, e.Self)
	state.entry, state.exists = infra.KeyValue{Key: leaderKey, Value: value, Revision: revision, Lease: lease}, true
	state.revision = max(state.revision, revision)
	e.serve(ctx, state)
}

// isOwnEntry reports whether the entry names this machine, such as that of an earlier process.
func isOwnEntry(state leaderState, self *siskinv1.Leadership) bool {
	owner := &siskinv1.Leadership{}
	return state.exists && proto.Unmarshal(state.entry.Value, owner) == nil && owner.GetMachine() == self.GetMachine()
}

// serve acts as the controller until ctx ends, the lease is lost, another controller is seen or this one resigns.
func (e *Elector) serve(ctx context.Context, state leaderState) {
	handover := e.Handover
	if handover == nil {
		handover = ctx.Done()
	}
	termContext, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	entry := state.entry
	term := &Term{
		Epoch: int64(entry.Revision), Condition: infra.Condition{Key: leaderKey, Revision: entry.Revision},
		elector: e, lease: entry.Lease, end: end, formerRevoked: make(chan struct{}),
	}
	for _, s := range e.suspicions(state) {
		// The earlier process of this machine has ended, and so have this process's earlier terms.
		if s.GetEpoch() != term.Epoch && s.GetMachine() != e.Self.GetMachine() {
			term.former = append(term.former, s)
		}
	}
	e.Log.Info("controller term begins", "epoch", term.Epoch, "former_may_act", len(term.former))
	changed := e.Session.Changed()
	if !term.Valid() {
		return
	}
	var background sync.WaitGroup
	background.Go(func() {
		select {
		case <-changed:
			end()
		case <-handover:
			end()
		case <-termContext.Done():
		}
	})
	background.Go(func() { term.revokeFormer(termContext) })
	background.Go(func() { term.guard(termContext, state) })
	e.Serve(termContext, term)
	end()
	background.Wait()
	e.Log.Info("controller term ends", "epoch", term.Epoch, "valid", term.Valid())
	if ctx.Err() != nil || term.resigned.Load() {
		// The machine is about to stop, or another one is better suited.
		e.resign(entry)
	}
}

// resign releases the leadership when this machine stops or resigns, so that another one acquires it at once.
func (e *Elector) resign(entry infra.KeyValue) {
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := e.Store.Commit(call, infra.Txn{
		Conditions: []infra.Condition{{Key: leaderKey, Revision: entry.Revision}}, Removes: []string{leaderKey},
	})
	if err != nil {
		e.Log.Info("failed to release the leadership; it ends with the lease", "reason", err.Error())
	}
}
