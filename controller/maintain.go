package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/maintenance"
)

const (
	// maintainInterval is the interval at which maintenance waves are checked. A machine is down for about two seconds.
	maintainInterval = 400 * time.Millisecond
	// machineTimeout bounds a call to the platform's machine service, which may be slow.
	machineTimeout = time.Second
)

// wave is a maintenance wave with the revision of its record.
type wave struct {
	tracker  *maintenance.Tracker
	revision infra.Revision
}

// maintain carries out maintenance waves until the term ends. Orders for one machine by different controllers must be at
// least MinHolderInterval apart, so a new controller waits that long after the last possible order of an earlier one.
func (t *term) maintain(ctx context.Context) {
	waves := map[int64]*wave{}
	completed := map[int64]bool{}
	for ctx.Err() == nil {
		_ = t.Clock.Sleep(ctx, maintainInterval)
		requests := slices.DeleteFunc(t.Policy.Waves(), func(w maintenance.Wave) bool { return completed[w.Number] })
		if len(requests) == 0 || t.now().Sub(t.soleSince) < t.Bounds.MinHolderInterval || !t.leadership.Valid() {
			continue
		}
		machines, err := t.listMachines(ctx)
		if err != nil {
			t.log.Info("machines not listed", "reason", err.Error())
			continue
		}
		for _, request := range requests {
			done, err := t.maintainWave(ctx, request, waves, machines)
			completed[request.Number] = done
			if err != nil {
				// The wave's record is read from the store again before anything else is ordered.
				delete(waves, request.Number)
				t.log.Info("maintenance wave interrupted", "wave", request.Number, "reason", err.Error())
			}
		}
	}
}

func (t *term) listMachines(ctx context.Context) ([]infra.Machine, error) {
	call, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	return t.Machines.List(call)
}

// maintainWave advances a wave by one step. It reports whether the wave is completed.
func (t *term) maintainWave(
	ctx context.Context, request maintenance.Wave, waves map[int64]*wave, machines []infra.Machine,
) (bool, error) {
	w := waves[request.Number]
	if w == nil {
		loaded, completed, err := t.loadWave(ctx, request)
		if completed || err != nil {
			return completed, err
		}
		w = loaded
		waves[request.Number] = w
	}
	w.tracker.Observe(t.now(), machines)
	if next := t.cordonWorkers(w.tracker); len(next) > 0 {
		// The order is made durable before it is sent, so that the next controller counts the machine as down.
		if err := t.recordWave(ctx, w, append(w.tracker.AllOrdered(), next...), false); err != nil {
			return false, err
		}
		for _, machine := range next {
			w.tracker.Ordered(machine)
		}
	}
	for _, machine := range w.tracker.Unconfirmed() {
		t.orderMaintenance(ctx, w.tracker, machine)
	}
	if !w.tracker.Finished() {
		return false, nil
	}
	if err := t.recordWave(ctx, w, w.tracker.AllOrdered(), true); err != nil {
		return false, err
	}
	t.log.Info("maintenance wave completed", "wave", request.Number, "machines", len(request.Machines))
	return true, nil
}

// cordonWorkers cordons the workers of the next machines, uncordons those of machines that are done, and returns the
// machines that may go down now.
func (t *term) cordonWorkers(tracker *maintenance.Tracker) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, worker := range tracker.ToUncordon() {
		t.state.Cordon(worker, false)
	}
	for _, worker := range tracker.Drain(t.now()) {
		t.state.Cordon(worker, true)
	}
	t.triggerPlan()
	tracker.ResumeOrders(t.now(), t.state.IsEmpty)
	return tracker.ReadyToOrder(t.now(), t.state.IsEmpty)
}

// orderMaintenance sends the maintenance order for a machine. It is repeated until the order is confirmed.
func (t *term) orderMaintenance(ctx context.Context, tracker *maintenance.Tracker, machine string) {
	if !t.leadership.Valid() {
		return
	}
	call, cancel := t.orderContext(ctx, machineTimeout)
	defer cancel()
	err := t.Machines.Maintain(call, infra.MaintenanceOrder{
		Machine: machine, Wave: tracker.Wave.Number, Holder: t.Machine, Epoch: t.leadership.Epoch,
	})
	t.Metrics.order("maintain", err)
	t.log.Info("maintenance ordered", "wave", tracker.Wave.Number, "machine", machine, "worker", tracker.Worker(machine),
		"result", resultOf(err))
	switch {
	case err == nil:
		tracker.Confirmed(t.now(), machine)
	case errors.Is(err, infra.ErrFenced):
		t.leadership.End()
	case errors.Is(err, infra.ErrMachineUnknown), errors.Is(err, infra.ErrNotInWave):
		tracker.Excluded(machine)
	}
}

// loadWave reads the record of a wave, and writes the first record of a wave that has none.
func (t *term) loadWave(ctx context.Context, request maintenance.Wave) (w *wave, completed bool, err error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record := &siskinv1.MaintenanceProgress{}
	entry, err := t.Store.Get(call, WaveKey(request.Number))
	switch {
	case errors.Is(err, infra.ErrNotFound):
	case err != nil:
		return nil, false, err
	default:
		if err := proto.Unmarshal(entry.Value, record); err != nil {
			return nil, false, err
		}
	}
	if record.GetCompleted() {
		return nil, true, nil
	}
	w = &wave{tracker: maintenance.NewTracker(request, t.Bounds.MaintenanceTime, record.GetOrdered(), record.GetDone()), revision: entry.Revision}
	if entry.Revision == 0 {
		t.log.Info("maintenance wave begins", "wave", request.Number, "machines", len(request.Machines),
			"at_once", request.AtOnce, "within_ms", request.Within.Milliseconds())
		return w, false, t.recordWave(ctx, w, nil, false)
	}
	return w, false, nil
}

// recordWave makes the state of a wave durable, together with the status shown to operators.
func (t *term) recordWave(ctx context.Context, w *wave, ordered []string, completed bool) error {
	number := w.tracker.Wave.Number
	value, err := proto.Marshal(&siskinv1.MaintenanceProgress{Ordered: ordered, Completed: completed, Done: w.tracker.AllDone()})
	if err != nil {
		return err
	}
	statusKey, status := t.EncodeWaveStatus(number, completed)
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := t.Store.Commit(call, infra.Txn{
		Conditions: []infra.Condition{t.leadership.Condition, {Key: WaveKey(number), Revision: w.revision}},
		Writes:     []infra.Write{{Key: WaveKey(number), Value: value}, {Key: statusKey, Value: status}},
	})
	if err == nil {
		w.revision = revision
	}
	return err
}
