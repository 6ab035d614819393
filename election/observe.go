package election

import "context"

// observe waits in the background for the exit of the leader's process. The caller holds mu.
func (e *Elector) observe(ctx context.Context) {
	if e.stopObserving != nil {
		e.stopObserving()
	}
	leader, leaderExited := e.leader, make(chan struct{})
	e.leaderExited = leaderExited
	ctx, e.stopObserving = context.WithCancel(ctx)
	if leader.GetAddress() == "" || leader.GetMachine() == e.Self.GetMachine() {
		return
	}
	go func() {
		if e.AwaitExit(ctx, leader) == nil {
			e.Log.Info("process of the controller has ended", "controller", leader.GetMachine(), "incarnation", leader.GetIncarnation())
			close(leaderExited)
		}
	}()
}

// exited returns a channel that is closed when the process of the current leader has exited.
func (e *Elector) exited() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderExited
}

// hasExited reports whether the process of the current leader has exited.
func (e *Elector) hasExited() bool {
	select {
	case <-e.exited():
		return true
	default:
		return false
	}
}
