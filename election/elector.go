package election

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

const (
	// leaderKey names the controller.
	leaderKey = "lead/owner"
	// watchWait is how long the store holds a watch open.
	watchWait = 3 * time.Second
	// watchSlack is added to watchWait to get the timeout of the call. That is the longest time for which a lost response
	// delays a change.
	watchSlack = 700 * time.Millisecond
)

// Term is the time during which this machine is the controller.
type Term struct {
	// Epoch is the revision of the controller's entry, so it increases from one controller to the next.
	Epoch int64
	// Condition holds in the store as long as the term lasts.
	Condition infra.Condition
	lease     infra.LeaseID
	session   *Session
	end       context.CancelFunc
	resigned  atomic.Bool
}

// Valid reports whether no other machine can be the controller now. It is checked immediately before each action. Only a
// process that was assumed to have exited may be replaced while its term is valid; its commits then fail their condition,
// and workers that its successor has reached reject its epoch.
func (t *Term) Valid() bool { return t.session.Holds(t.lease) }

// End ends the term, for example because another controller was seen.
func (t *Term) End() { t.end() }

// Resign ends the term and releases the leadership to a machine that is better suited.
func (t *Term) Resign() {
	t.resigned.Store(true)
	t.end()
}

// Elector acquires the leadership for this machine when there is no controller.
type Elector struct {
	Store   infra.TxnStore
	Session *Session
	Clock   clock.Clock
	Log     logr.Logger
	Self    *siskinv1.Leadership
	// AcquireDelay returns how long this machine waits before it acquires a free leadership. Stronger machines wait less.
	AcquireDelay func() time.Duration
	// MayTakeOverEarly reports whether this machine should replace a controller whose process has exited before its lease
	// ends. A weak machine would preempt stronger ones that are about to be back.
	MayTakeOverEarly func() bool
	// Serve acts as the controller until its context ends.
	Serve func(ctx context.Context, term *Term)
	// Handover is closed when a term in progress has to end; if it is nil, terms end with the context of Run. A machine that
	// is about to stop acquires no leadership, but goes on as the controller for a while, so that planned stops of one
	// machine after the other do not change the controller each time.
	Handover <-chan struct{}
	// AwaitExit returns nil once the process of a controller has certainly exited, and an error if ctx ends first.
	AwaitExit func(ctx context.Context, leader *siskinv1.Leadership) error

	mu     sync.Mutex // guards the fields below
	leader *siskinv1.Leadership
	// leaderExited is closed when the leader's process has exited; stopObserving cancels the wait for that.
	leaderExited  chan struct{}
	stopObserving context.CancelFunc
}

// Leader returns the machine that is the controller as far as known, or nil.
func (e *Elector) Leader() *siskinv1.Leadership {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// setLeader records the controller and starts to observe its process.
func (e *Elector) setLeader(ctx context.Context, leader *siskinv1.Leadership) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.GetMachine() == leader.GetMachine() && e.leader.GetIncarnation() == leader.GetIncarnation() {
		return
	}
	e.leader = leader
	e.Log.Info("controller known", "controller", leader.GetMachine(), "incarnation", leader.GetIncarnation())
	e.observe(ctx)
}

// leaderState is the controller's entry in the store.
type leaderState struct {
	entry    infra.KeyValue
	exists   bool
	revision infra.Revision
}

// Run watches the leadership, and acquires it when it is free, until ctx ends. A term in progress goes on until Handover is
// closed.
func (e *Elector) Run(ctx context.Context) {
	e.mu.Lock()
	e.observe(ctx)
	e.mu.Unlock()
	for ctx.Err() == nil {
		changed := e.Session.Changed()
		state, err := e.read(ctx, changed)
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

// read returns the current entry.
func (e *Elector) read(ctx context.Context, changed <-chan struct{}) (leaderState, error) {
	call, cancel := withLeaseSignal(ctx, callTimeout, changed)
	defer cancel()
	listing, err := e.Store.List(call, leaderKey)
	if err != nil {
		return leaderState{}, err
	}
	state := leaderState{revision: listing.Revision}
	for _, entry := range listing.Entries {
		if entry.Key == leaderKey {
			state.entry, state.exists = entry, true
		}
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
	call, cancel := withLeaseSignal(ctx, watchWait+watchSlack, changed)
	defer cancel()
	if _, valid := e.Session.Lease(); valid && e.MayTakeOverEarly() {
		go cancelOnSignal(call, cancel, e.exited())
	}
	result, err := e.Store.Watch(call, infra.WatchRequest{Prefix: leaderKey, After: state.revision, Wait: watchWait})
	if err != nil {
		return state, err
	}
	for _, event := range result.Events {
		if event.Key == leaderKey {
			state.entry, state.exists = event.KeyValue, !event.Deleted
		}
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
	lease, valid := e.Session.Lease()
	own := state.exists && owner.GetMachine() == e.Self.GetMachine()
	switch {
	case own && owner.GetIncarnation() == e.Self.GetIncarnation() && state.entry.Lease == lease && valid:
		e.setLeader(ctx, owner)
		e.serve(ctx, state.entry)
	case !valid:
		e.setLeader(ctx, owner)
	case !state.exists || own:
		// An entry of an earlier process of this machine is replaced at once: that process has ended.
		e.acquire(ctx, state, lease)
	default:
		e.setLeader(ctx, owner)
		if e.hasExited() && e.MayTakeOverEarly() {
			// There is no need to wait for the lease of a process that has exited.
			e.acquire(ctx, state, lease)
		}
	}
}

func (e *Elector) acquire(ctx context.Context, state leaderState, lease infra.LeaseID) {
	value, err := proto.Marshal(e.Self)
	if err != nil {
		e.Log.Error(err, "encode leadership")
		return
	}
	if !isOwnEntry(state, e.Self) && e.Clock.Sleep(ctx, e.AcquireDelay()) != nil {
		return
	}
	condition := infra.Condition{Key: leaderKey}
	if state.exists {
		condition.Revision = state.entry.Revision
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := e.Store.Commit(call, infra.Txn{
		Conditions: []infra.Condition{condition},
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
	e.serve(ctx, infra.KeyValue{Key: leaderKey, Revision: revision, Lease: lease})
}

// isOwnEntry reports whether the entry names this machine, such as that of an earlier process.
func isOwnEntry(state leaderState, self *siskinv1.Leadership) bool {
	owner := &siskinv1.Leadership{}
	return state.exists && proto.Unmarshal(state.entry.Value, owner) == nil && owner.GetMachine() == self.GetMachine()
}

// serve acts as the controller until ctx ends, the lease is lost, another controller is seen or this one resigns.
func (e *Elector) serve(ctx context.Context, entry infra.KeyValue) {
	handover := e.Handover
	if handover == nil {
		handover = ctx.Done()
	}
	termContext, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	term := &Term{
		Epoch: int64(entry.Revision), Condition: infra.Condition{Key: leaderKey, Revision: entry.Revision},
		lease: entry.Lease, session: e.Session, end: end,
	}
	e.Log.Info("controller term begins", "epoch", term.Epoch)
	changed := e.Session.Changed()
	if !term.Valid() {
		return
	}
	go func() {
		select {
		case <-changed:
			end()
		case <-handover:
			end()
		case <-termContext.Done():
		}
	}()
	e.Serve(termContext, term)
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
