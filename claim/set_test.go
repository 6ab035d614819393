package claim

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/shardlog"
	"siskinstack.example/siskinstack/standin"
)

// openShard opens a shard in the same way as a new owner.
func openShard(t *testing.T, store *standin.Store, set *Set, owner string, epoch int64) (*Service, *Table) {
	t.Helper()
	table := NewTable(Limits{})
	log, err := shardlog.Open(t.Context(), shardlog.Options{
		Store: store, Clock: clock.Real{}, Shard: "z-0", Writer: owner, Owner: owner, Epoch: epoch, Apply: table.Apply,
	})
	assert.NilError(t, err)
	t.Cleanup(log.Close)
	service := NewService(table, ShardLog(log))
	set.Add("z-0", service)
	return service, table
}

// TestClaimSurvivesOwner guards against a second run after a takeover of the shard, against a former owner that still
// grants claims, and against claims of a shard that the VM does not own.
func TestClaimSurvivesOwner(t *testing.T) {
	store := standin.NewStore(clock.Real{})
	set := NewSet()
	client := NewClient(ClientOptions{
		Shards: set, Names: func() []string { return []string{"z-0"} }, EntryVM: "entry-0/1", Clock: clock.Real{},
	})
	_, _, err := client.Begin(t.Context(), newSubmission("r0", "a"))
	assert.Equal(t, reasonOf(t, err), refusal.ShardUnavailable)
	old, _ := openShard(t, store, set, "entry-1", 1)
	handle, _, err := client.Begin(t.Context(), newSubmission("r1", "a"))
	assert.NilError(t, err)
	service, table := openShard(t, store, set, "entry-2", 2)
	_, _, err = client.Begin(t.Context(), newSubmission("r2", "a"))
	assert.Equal(t, reasonOf(t, err), refusal.InProgress)
	late, err := old.Claim(t.Context(), &siskinv1.ClaimRequest{Claim: &siskinv1.RequestClaimed{RequestKey: "other", RequestId: "r3"}})
	assert.Assert(t, err != nil && !late.GetGranted())
	handle.Finish(t.Context(), Outcome{Kind: Answered, Status: 200, Body: []byte("done")})
	_, earlier, err := client.Begin(t.Context(), newSubmission("r4", "a"))
	assert.NilError(t, err)
	assert.Equal(t, string(earlier.GetAnswer()), "done")
	set.Remove("z-0", old)
	_, err = set.get("z-0")
	assert.NilError(t, err, "the new owner's service was removed with the old one")
	orphan := &siskinv1.RequestClaimed{RequestKey: "k2", RequestId: "r5", EntryVm: "entry-9/1", ClaimedUnixMs: time.Now().UnixMilli()}
	_, err = service.Claim(t.Context(), &siskinv1.ClaimRequest{Claim: orphan})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go service.Run(ctx, clock.Real{}, func(vm string) bool { return vm == "entry-0/1" })
	for range 100 {
		if table.Check(orphan).Verdict == Unknown {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the claim of a failed VM is still in progress")
}
