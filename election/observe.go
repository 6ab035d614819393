package election

import (
	"context"
	"time"
)

// observe waits in the background until the leader's host refuses connections, after a delay. The caller holds mu.
func (e *Elector) observe(ctx context.Context, delay time.Duration) {
	if e.stopObserving != nil {
		e.stopObserving()
	}
	leader, refuses := e.leader, make(chan struct{})
	e.leaderRefuses = refuses
	ctx, e.stopObserving = context.WithCancel(ctx)
	if leader.GetAddress() == "" || leader.GetMachine() == e.Self.GetMachine() {
		return
	}
	go func() {
		if e.Clock.Sleep(ctx, delay) == nil && e.AwaitRefusal(ctx, leader) == nil {
			e.Log.Info("host of the controller refuses connections", "controller", leader.GetMachine(),
				"incarnation", leader.GetIncarnation())
			close(refuses)
		}
	}()
}

// observeLater discards what was observed of the leader's host, and observes it again after suspicionInterval.
func (e *Elector) observeLater(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(ctx, suspicionInterval)
}

// refused returns a channel that is closed when the host of the current leader refuses connections.
func (e *Elector) refused() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderRefuses
}

// isRefused reports whether the host of the current leader has refused connections.
func (e *Elector) isRefused() bool {
	select {
	case <-e.refused():
		return true
	default:
		return false
	}
}
