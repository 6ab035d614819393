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
	// probeDuration exceeds the 3 s in which a withdrawn key may still be accepted.
	probeDuration = 4500 * time.Millisecond
	probeInterval = 250 * time.Millisecond
)

// unknownKey is well-formed but was never issued.
var unknownKey = "sk_" + strings.Repeat("0", 16) + "_" + strings.Repeat("0", 64)

// withdrawKey issues a second key, withdraws it, and submits work with it and with other invalid keys through every VM.
func (r *run) withdrawKey(ctx context.Context) (string, error) {
	team := r.cluster.site.Teams[0].Name
	key, err := r.issueKey(ctx, team)
	if err != nil {
		return "", err
	}
	if _, err := r.submit(ctx, 0, team, key.Key, smallBatch()); err != nil {
		return "", fmt.Errorf("submit with the new key: %w", err)
	}
	client, err := r.operatorClient(author)
	if err != nil {
		return "", err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := client.WithdrawKey(call, key.ID); err != nil {
		return "", asNotAvailable("POST /v1/keys/{id}/withdraw", err)
	}
	withdrawn := time.Now()
	for time.Since(withdrawn) < probeDuration && pause(ctx, probeInterval) {
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

// probe submits work with a key that must be refused.
func (r *run) probe(ctx context.Context, vm *entryVM, credential promises.Credential, withdrawn time.Time, key string) {
	spec := smallBatch()
	tag := r.uniqueName("probe")
	spec.Name, spec.Queue, spec.Command = tag, r.cluster.site.Teams[0].Name, append(spec.GetCommand(), tag)
	client, err := r.clients.get(vm, key)
	if err != nil {
		return
	}
	record, _ := attempt(ctx, vm, func(ctx context.Context) (response, error) {
		submitted, err := client.Submit(ctx, spec, "")
		return response{text: submitted.ID}, err
	})
	r.recorder.submission(&promises.Work{
		Tag: tag, Team: spec.GetQueue(), Kind: spec.GetKind(), Count: 1, Attempts: []promises.Attempt{record},
	})
	r.recorder.update(func(records *promises.Records) {
		records.KeyChecks = append(records.KeyChecks, promises.KeyCheck{
			Credential: credential, VM: vm.name(), Sent: record.Sent, WithdrawnAt: withdrawn, Outcome: record.Outcome,
		})
	})
}
