package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/demo/promises"
)

const (
	// submitInterval is the time between two small batches of the background load.
	submitInterval = 150 * time.Millisecond
	gib            = 1 << 30
	core           = 1000
)

// specs returns one submission for each team, by team; together they cover every kind of work. The last one needs more
// than the ceiling of its team.
func (r *run) specs() map[string]*siskinv1.WorkSpec {
	teams := r.cluster.site.Teams
	spec := func(kind siskinv1.WorkKind, count int32, cores int64, command ...string) *siskinv1.WorkSpec {
		return &siskinv1.WorkSpec{
			Kind: kind, Count: count, Command: command,
			Each: &siskinv1.Resources{MilliCpu: cores * core, MemoryBytes: cores * gib},
		}
	}
	atMostOnce := spec(siskinv1.WorkKind_WORK_KIND_BATCH, 5, 1, "sleep", "500ms")
	atMostOnce.AtMostOnce = true
	checkpointable := spec(siskinv1.WorkKind_WORK_KIND_BATCH, 8, 2, "sleep", "6s")
	checkpointable.Checkpointable = true
	return map[string]*siskinv1.WorkSpec{
		teams[0].Name: spec(siskinv1.WorkKind_WORK_KIND_SERVICE, 6, 2, "serve", "-"),
		teams[1].Name: atMostOnce,
		teams[2].Name: spec(siskinv1.WorkKind_WORK_KIND_GANG, 8, 4, "sleep", "1s"),
		teams[3].Name: spec(siskinv1.WorkKind_WORK_KIND_BATCH, 20, 2, "sleep", "1s"),
		teams[4].Name: checkpointable,
		teams[5].Name: spec(siskinv1.WorkKind_WORK_KIND_BATCH, 100, 8, "sleep", "1s"),
	}
}

// stepWork submits work of every kind, and starts submitting small batches until the load ends.
func (r *run) stepWork(ctx context.Context) (string, error) {
	accepted := 0
	for team, spec := range r.specs() {
		work, err := r.submit(ctx, accepted, team, r.key(team), spec)
		if err != nil {
			return "", eris.Wrapf(asNotAvailable("POST /v1/work", err), "%s of %s", spec.GetKind(), team)
		}
		accepted += len(work.Attempts)
	}
	r.load = append(r.load, startBackground(ctx, r.submitBatches))
	return fmt.Sprintf("%d submissions", accepted), nil
}

func (r *run) submitBatches(ctx context.Context) {
	teams := r.cluster.site.Teams
	for i := 0; pause(ctx, submitInterval); i++ {
		team := teams[i%len(teams)].Name
		spec := &siskinv1.WorkSpec{
			Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: 3, Command: []string{"sleep", "400ms"},
			Each: &siskinv1.Resources{MilliCpu: core, MemoryBytes: gib},
		}
		_, _ = r.submit(context.WithoutCancel(ctx), i, team, r.key(team), spec)
	}
}

// submit submits work through one VM, retries through the next ones if that is safe, and after success submits it again
// through another VM with the same request key.
func (r *run) submit(ctx context.Context, first int, team, key string, spec *siskinv1.WorkSpec) (*promises.Work, error) {
	work := &promises.Work{
		Tag: r.uniqueName("work"), Team: team, Kind: spec.GetKind(), Count: spec.GetCount(), AtMostOnce: spec.GetAtMostOnce(),
	}
	spec.Name, spec.Queue = work.Tag, team
	spec.Command = append(spec.GetCommand(), work.Tag)
	send := func(ctx context.Context, vm *entryVM) (response, error) {
		client, err := r.clients.get(vm, key)
		if err != nil {
			return response{}, err
		}
		submitted, err := client.Submit(ctx, spec, work.Tag)
		return response{text: submitted.ID}, err
	}
	records, err := r.attempts(ctx, first, true, send)
	work.Attempts = records
	if err == nil {
		again, _ := r.attempts(ctx, first+1, true, send)
		work.Attempts = append(work.Attempts, again...)
	}
	r.recorder.submission(work)
	return work, err
}
