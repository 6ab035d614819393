package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/controller"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/forecast"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
)

const (
	// maxForecastAge is the age from which a forecast is not used. A burst changes the state of the fleet within seconds.
	maxForecastAge = 500 * time.Millisecond
	// maxSeenJobs bounds the jobs that a machine remembers. At 10 submissions a second it covers several minutes.
	maxSeenJobs = 4096
	// maxRefusedFor is the time after its first refusal for which a job may be refused again. A tombstone that is as old still
	// lasts longer than a late write can take.
	maxRefusedFor = controller.TombstoneRetention / 2
	// maxResubmissions bounds the attempts to accept a job while its tombstone changes.
	maxResubmissions = 3
)

// heldForecast is a forecast with the earliest time at which it may have been computed, and the controller that sent it.
type heldForecast struct {
	message *siskinv1.Forecast
	at      time.Time
	leader  *siskinv1.Leadership
}

// seenJob is what a machine remembers of a submitted job.
type seenJob struct {
	// mayBeStored is true if a submission was accepted or its outcome is unknown.
	mayBeStored bool
	// refused is the revision of the job's tombstone if the machine has refused it; returnAt is then when it is admitted.
	refused  infra.Revision
	returnAt time.Time
}

// admission holds the newest forecast and the jobs that were submitted last.
type admission struct {
	mu       sync.Mutex // guards all fields below
	forecast heldForecast
	seen     map[string]seenJob
	order    []string
	// accepted holds when the jobs of each team were accepted within maxForecastAge.
	accepted map[string][]time.Time
}

func newAdmission() *admission {
	return &admission{seen: map[string]seenJob{}, accepted: map[string][]time.Time{}}
}

// hold keeps a forecast that came with the answer to a call, unless a newer one is known.
func (a *admission) hold(message *siskinv1.Forecast, sent time.Time, leader *siskinv1.Leadership) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.forecast.message
	if message == nil || message.GetEpoch() < known.GetEpoch() ||
		message.GetEpoch() == known.GetEpoch() && message.GetSequence() <= known.GetSequence() {
		return
	}
	at := sent.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond)
	a.forecast = heldForecast{message: message, at: at, leader: leader}
}

// held returns the forecast, and how many jobs of a team this machine has accepted since it was computed.
func (a *admission) held(team string) (f heldForecast, accepted int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.accepted[team] {
		if at.After(a.forecast.at) {
			accepted++
		}
	}
	return a.forecast, accepted
}

func (a *admission) job(id string) seenJob {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[id]
}

// remember keeps what is known of a job, and forgets the job that was first submitted the longest time ago.
func (a *admission) remember(id string, job seenJob) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.seen[id]; !known {
		if len(a.order) >= maxSeenJobs {
			delete(a.seen, a.order[0])
			a.order = slices.Delete(a.order, 0, 1)
		}
		a.order = append(a.order, id)
	}
	a.seen[id] = job
}

// submitted records the outcome of a submission. Only a certain refusal leaves a job that may be refused later.
func (a *admission) submitted(record *siskinv1.Workflow, now time.Time, created bool, err error) {
	if a == nil {
		return
	}
	job := a.job(record.GetId())
	job.mayBeStored = err == nil || !refusal.From(err).NotRun()
	a.remember(record.GetId(), job)
	if created {
		a.mu.Lock()
		defer a.mu.Unlock()
		recent := slices.DeleteFunc(a.accepted[record.GetTeam()], func(at time.Time) bool { return now.Sub(at) > maxForecastAge })
		a.accepted[record.GetTeam()] = append(recent, now)
	}
}

// isUsable reports whether the forecast is young enough and of the current controller.
func (f heldForecast) isUsable(now time.Time, leader *siskinv1.Leadership) bool {
	age := now.Sub(f.at)
	return f.message != nil && age >= 0 && age <= maxForecastAge && leader.GetMachine() != "" &&
		leader.GetMachine() == f.leader.GetMachine() && leader.GetIncarnation() == f.leader.GetIncarnation()
}

// wait returns the forecast wait of a job and what its decision depends on. It returns false if the forecast says nothing
// about the job. This machine has accepted a number of jobs of the same team since the forecast.
func (f heldForecast) wait(record *siskinv1.Workflow, age time.Duration, accepted int) (forecast.Wait, forecast.Demand, bool) {
	if record.GetOccurrences() > 0 || slices.ContainsFunc(record.GetSteps(), (*siskinv1.WorkflowStep).GetLongRunning) {
		return forecast.Wait{}, forecast.Demand{}, false
	}
	demand := forecast.Demand{UsefulFor: dispatch.UsefulFor(record)}
	for _, team := range f.message.GetTeams() {
		if record.GetTeam() != "" && team.GetTeam() == record.GetTeam() {
			withinIn := time.Duration(team.GetWithinRateInMs()) * time.Millisecond
			demand.BeyondRate = forecast.IsBeyondRate(withinIn, age, float64(team.GetRate()), accepted)
			demand.AboveShare = team.GetAboveShare()
		}
	}
	for _, q := range f.message.GetQueues() {
		if q.GetQueue() == record.GetQueue().GetName() && q.GetBeyondRate() == demand.BeyondRate {
			return forecast.Wait{
				Class: forecast.Class{Queue: q.GetQueue(), Excess: q.GetBeyondRate()},
				Lower: time.Duration(q.GetLowerMs()) * time.Millisecond, Upper: time.Duration(q.GetUpperMs()) * time.Millisecond,
			}, demand, true
		}
	}
	return forecast.Wait{}, forecast.Demand{}, false
}

// admit refuses a job that would start when its result is of no use any more. If it returns no error, the job is to be
// submitted on condition that its tombstone has the returned revision, 0 if there is none.
//
// A refusal is only returned once a tombstone is durable that was written on condition that the store does not hold the
// job. A write of an earlier submission, on any machine, then cannot take effect any more. If the store does not confirm the
// tombstone, the job is submitted as if there were no forecast.
func (g *Gateway) admit(ctx context.Context, record *siskinv1.Workflow, attempt attempt) (infra.Revision, error) {
	if g.admission == nil {
		return 0, nil
	}
	now, id, queue := g.options.Clock.Now(), record.GetId(), record.GetQueue().GetName()
	seen := g.admission.job(id)
	held, accepted := g.admission.held(record.GetTeam())
	wait, demand, known := held.wait(record, now.Sub(held.at), accepted)
	tooLate := known && held.isUsable(now, g.options.Leader()) && demand.IsTooLate(wait)
	returned := seen.refused != 0 && !now.Before(seen.returnAt)
	if !tooLate || seen.mayBeStored || returned {
		if returned {
			g.options.Metrics.forecastDecision(queue, "returned")
		}
		return seen.refused, nil
	}
	revision, ok := g.writeRefusal(ctx, record, seen.refused, attempt)
	if !ok {
		g.options.Metrics.forecastDecision(queue, "not_confirmed")
		return seen.refused, nil
	}
	if seen.refused == 0 {
		seen.returnAt = now.Add(forecast.RetryAfter(wait, xxhash.Sum64String(id)))
	}
	seen.refused = revision
	g.admission.remember(id, seen)
	g.options.Metrics.forecastDecision(queue, "refused")
	refused := g.refuse(id, refusal.ForecastTooLate,
		"would start after %d to %d ms, of use for %d ms; queue %.40q, team %.40q, beyond its rate %v, forecast %d.%d is %d ms old",
		wait.Lower.Milliseconds(), wait.Upper.Milliseconds(), demand.UsefulFor.Milliseconds(), queue, record.GetTeam(),
		demand.BeyondRate, held.message.GetEpoch(), held.message.GetSequence(), now.Sub(held.at).Milliseconds())
	refused.RetryAfter = seen.returnAt.Sub(now)
	return 0, refused
}

// writeRefusal writes the tombstone of a refused job over the one with a revision, 0 for none. If the job has another one
// because another machine has refused it, that one is replaced as long as it lasts long enough. It returns the tombstone's
// revision, and false if the store may hold the job or has not confirmed the tombstone.
func (g *Gateway) writeRefusal(
	ctx context.Context, record *siskinv1.Workflow, revision infra.Revision, attempt attempt,
) (infra.Revision, bool) {
	key, now := controller.TombstoneKey(record.GetId(), record.GetTeam()), unixMs()
	commit := func(over infra.Revision, since int64) (infra.Revision, error) {
		return g.store.commitAt(ctx, infra.Txn{
			Conditions: []infra.Condition{{Key: key, Revision: over}, {Key: controller.JobKey(record.GetId())}},
			Writes:     []infra.Write{{Key: key, Value: refusalTombstone{since, now, attempt.token}.value()}},
		})
	}
	if revision == 0 {
		written, err := commit(0, now)
		if !errors.Is(err, infra.ErrConflict) {
			return written, err == nil && written != 0
		}
	}
	current, err := g.store.get(ctx, key)
	if err != nil {
		return 0, false
	}
	tombstone, isRefusal := parseRefusal(current)
	since := tombstone.firstUnixMs
	if !isRefusal || now-since > maxRefusedFor.Milliseconds() || now < since {
		return 0, false
	}
	written, err := commit(current.Revision, since)
	return written, err == nil && written != 0
}

// writeOverRefusal writes a job that the store does not hold and whose tombstone is not the one that was expected. The job is
// not written if the tombstone is that of a cancellation, or of a refusal since this attempt began: its caller has given up this
// attempt, and was told by another one that the job never runs.
func (g *Gateway) writeOverRefusal(ctx context.Context, job string, txn infra.Txn, attempt attempt) (created bool, err error) {
	key := txn.Conditions[1].Key
	for range maxResubmissions {
		tombstone, err := g.get(ctx, job, key)
		missing := err != nil && refusal.From(err).Reason == refusal.NotFound
		if err != nil && !missing {
			return false, g.uncertain(job, err)
		}
		refused, isRefusal := parseRefusal(tombstone)
		if !missing && !isRefusal {
			return false, g.cancelledBefore(job)
		}
		if !missing && !refused.givesWayTo(attempt) {
			return false, g.refuse(job, refusal.AcceptanceUnknown, "another attempt was refused beside this one")
		}
		txn.Conditions = []infra.Condition{txn.Conditions[0], {Key: key, Revision: tombstone.Revision}}
		if created, err := g.write(ctx, job, txn); created || err != nil {
			return created, g.uncertain(job, err)
		}
		if stored, err := g.exists(ctx, job, controller.JobKey(job)); stored || err != nil {
			return false, g.uncertain(job, err)
		}
	}
	return false, g.refuse(job, refusal.AcceptanceUnknown, "the job changes beside its submission")
}

// uncertain converts an error after a write to one that does not say "not run": an attempt of an earlier write may have been
// sent before the tombstone that stopped it was removed.
func (g *Gateway) uncertain(job string, err error) error {
	if err == nil || !refusal.From(err).NotRun() {
		return err
	}
	return g.refuse(job, refusal.AcceptanceUnknown, "%s", refusal.From(err).Message)
}

// takeOverTombstone makes the existing tombstone of a job that of its cancellation. It reports false if there is none or it
// changes meanwhile.
func (g *Gateway) takeOverTombstone(ctx context.Context, target Target, key string) (bool, error) {
	tombstone, err := g.get(ctx, target.Job, key)
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Reason == refusal.NotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if _, isRefusal := parseRefusal(tombstone); !isRefusal {
		return true, nil
	}
	return g.write(ctx, target.Job, infra.Txn{
		Conditions: []infra.Condition{{Key: key, Revision: tombstone.Revision}, {Key: controller.JobKey(target.Job)}},
		Writes:     []infra.Write{{Key: key, Value: []byte{}}},
	})
}
