package schedules

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/sharding"
)

const (
	callTimeout = 5 * time.Second
	urgentOneIn = 5
)

// job is work with one request key, submitted once or several times.
type job struct {
	id   string
	team string
	spec *siskinv1.WorkSpec
	at   time.Duration
	// repeats are the delays after which the job is submitted again with the same key.
	repeats []time.Duration
	// cancelAfter is zero unless the job is cancelled.
	cancelAfter time.Duration

	mu       sync.Mutex // guards all fields below
	accepted bool
	unknown  bool
	// cancelTried is true once a cancellation is sent, whatever its answer.
	cancelTried bool
}

func (j *job) is(kind siskinv1.WorkKind) bool { return j.spec.GetKind() == kind }

// drawJob draws a random job of any kind.
func drawJob(random *rand.Rand, number int, within time.Duration) *job {
	shard := sharding.Name(zoneNames[random.IntN(len(zoneNames))], 0)
	j := &job{
		id: fmt.Sprintf("%s.j%03d", shard, number), team: teamNames[random.IntN(len(teamNames))],
		at: time.Duration(random.Int64N(int64(within))),
	}
	seconds := 1 + random.IntN(14)
	j.spec = &siskinv1.WorkSpec{
		Name: fmt.Sprintf("j%03d", number), Queue: j.team, Kind: siskinv1.WorkKind_WORK_KIND_BATCH,
		Count: int32(1 + random.IntN(5)), Urgency: siskinv1.Urgency_URGENCY_NORMAL,
		Each:    &siskinv1.Resources{MilliCpu: int64(500 * (1 + random.IntN(3))), MemoryBytes: 1 << 30},
		Command: []string{"sleep", fmt.Sprintf("%ds", seconds)}, MaxAttempts: 50,
	}
	switch random.IntN(6) {
	case 0, 1:
		j.spec.AtMostOnce = true
	case 2:
		j.spec.Kind = siskinv1.WorkKind_WORK_KIND_GANG
		j.spec.Count = int32(2 + random.IntN(2))
		j.spec.Each.MilliCpu = 1000
	case 3:
		j.spec.Kind = siskinv1.WorkKind_WORK_KIND_SERVICE
		j.spec.Count = int32(1 + random.IntN(3))
		j.spec.Each.MilliCpu = 500
		j.spec.Command = []string{"serve"}
		j.spec.Queue = serviceQueue(j.team)
	case 4:
		j.spec.Checkpointable = true
	}
	if random.IntN(urgentOneIn) == 0 {
		j.spec.Urgency = siskinv1.Urgency_URGENCY_URGENT
	}
	for range random.IntN(3) {
		j.repeats = append(j.repeats, time.Duration(random.IntN(3000))*time.Millisecond)
	}
	if random.IntN(6) == 0 {
		j.cancelAfter = time.Duration(1+random.IntN(10000)) * time.Millisecond
	}
	return j
}

// runJob submits a job, with the repeats and the cancellation drawn for it.
func (s *site) runJob(j *job) {
	time.Sleep(j.at)
	var calls sync.WaitGroup
	calls.Go(func() { s.submit(j) })
	for _, after := range j.repeats {
		calls.Go(func() {
			time.Sleep(after)
			s.submit(j)
		})
	}
	if j.cancelAfter > 0 {
		calls.Go(func() {
			time.Sleep(j.cancelAfter)
			s.cancel(j)
		})
	}
	calls.Wait()
}

// submit submits a job through a random VM and records what the caller learns about its acceptance.
func (s *site) submit(j *job) {
	v := s.live()
	if !v.Fresh() {
		return // refused by the entry VM as key_unverifiable before anything was sent
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := v.work.Submit(ctx, &siskinv1.SubmitWorkRequest{
		Shard: sharding.Name(sharding.Zone(shardOf(j)), 0), Id: j.id, Team: j.team, Spec: j.spec, RequestKey: j.id,
	})
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err == nil:
		j.accepted = true
	case !refusal.From(err).NotRun():
		j.unknown = true
	}
	s.note("%s: submit of %s: %v", v, j.id, err)
}

func shardOf(j *job) string {
	shard, _ := sharding.OfJob(j.id)
	return shard
}

func (s *site) cancel(j *job) {
	v := s.live()
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	j.mu.Lock()
	j.cancelTried = true
	j.mu.Unlock()
	_, err := v.work.Cancel(ctx, &siskinv1.CancelWorkRequest{Id: j.id, Team: j.team})
	s.note("%s: cancel of %s: %v", v, j.id, err)
}

// status reads a job through a random VM; nil if no answer came, missing if the owner does not know the job.
func (s *site) status(j *job) (status *siskinv1.WorkStatus, missing bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := s.live().work.Get(ctx, &siskinv1.GetWorkRequest{Id: j.id})
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Reason == refusal.NotFound {
		return nil, true
	}
	if err != nil {
		return nil, false
	}
	return answer.GetStatus(), false
}

// hasEnded reports whether an accepted job has reached its final state. A service that is not cancelled has reached it
// when all its tasks run.
func (s *site) hasEnded(j *job) bool {
	status, _ := s.status(j)
	if status == nil {
		return false
	}
	if j.is(siskinv1.WorkKind_WORK_KIND_SERVICE) && !status.GetCancelRequested() {
		return status.GetRunning() == j.spec.GetCount() && status.GetQueued() == 0
	}
	if j.is(siskinv1.WorkKind_WORK_KIND_SERVICE) {
		return status.GetRunning() == 0 && status.GetQueued() == 0
	}
	return ends(status) == j.spec.GetCount() && status.GetRunning() == 0 && status.GetQueued() == 0
}

// ends returns the number of ended tasks of a job, whatever the outcome.
func ends(status *siskinv1.WorkStatus) int32 {
	return status.GetSucceeded() + status.GetFailed() + status.GetCancelled() + status.GetUnknown()
}
