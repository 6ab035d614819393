package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/demo/promises"
)

const (
	// probeFor goes on for a while after the 3 s in which a withdrawn key may still work.
	probeFor   = 4500 * time.Millisecond
	probePause = 250 * time.Millisecond
)

// unknownKey is well-formed and was never issued.
var unknownKey = "sk_" + strings.Repeat("0", 16) + "_" + strings.Repeat("0", 64)

// withdrawKey issues a second key, withdraws it, and calls with it and with other bad keys through every VM.
func (r *run) withdrawKey(ctx context.Context) (string, error) {
	team := r.cluster.site.Teams[0].Name
	key, err := r.issueKey(ctx, team)
	if err != nil {
		return "", err
	}
	if _, err := r.submit(ctx, 0, team, key.Key, smallBatch()); err != nil {
		return "", fmt.Errorf("new key is not accepted: %w", err)
	}
	client, err := r.operator(author)
	if err != nil {
		return "", err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := client.WithdrawKey(call, key.ID); err != nil {
		return "", available("POST /v1/keys/{id}/withdraw", err)
	}
	withdrawn := time.Now()
	for time.Since(withdrawn) < probeFor && pause(ctx, probePause) {
		for _, vm := range r.cluster.live() {
			r.probe(ctx, vm, promises.Withdrawn, withdrawn, key.Key)
			r.probe(ctx, vm, promises.WrongTeam, withdrawn, r.key(r.cluster.site.Teams[1].Name))
			r.probe(ctx, vm, promises.NoKey, withdrawn, "")
			r.probe(ctx, vm, promises.UnknownID, withdrawn, unknownKey)
		}
	}
	return "a key was withdrawn", nil
}

func smallBatch() *siskinv1.WorkSpec {
	return &siskinv1.WorkSpec{
		Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: 1, Command: []string{"sleep", "100ms"},
		Each: &siskinv1.Resources{MilliCpu: core, MemoryBytes: gib},
	}
}

// probe hands work in with a key that must not be accepted.
func (r *run) probe(ctx context.Context, vm *entryVM, credential promises.Credential, withdrawn time.Time, key string) {
	spec := smallBatch()
	tag := r.next("probe")
	spec.Name, spec.Queue, spec.Command = tag, r.cluster.site.Teams[0].Name, append(spec.GetCommand(), tag)
	client, err := r.clients.of(vm, key)
	if err != nil {
		return
	}
	made, _ := attempt(ctx, vm, func(ctx context.Context) (answer, error) {
		submitted, err := client.Submit(ctx, spec, "")
		return answer{text: submitted.ID}, err
	})
	r.recorder.submission(&promises.Work{
		Tag: tag, Team: spec.GetQueue(), Kind: spec.GetKind(), Count: 1, Attempts: []promises.Attempt{made},
	})
	r.recorder.update(func(records *promises.Records) {
		records.KeyChecks = append(records.KeyChecks, promises.KeyCheck{
			Credential: credential, VM: vm.name(), Sent: made.Sent, WithdrawnAt: withdrawn, Outcome: made.Outcome,
		})
	})
}
