package capacity_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/allowance"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

// allowanceFleet has one allowance manager for each shard, all on one store.
type allowanceFleet struct {
	clock    *clock.Fake
	store    *standin.Store
	managers map[string]*allowance.Manager
	shards   []string
	teams    int
	asks     atomic.Int64
}

// ceiling is each team's ceiling in millicores: 1,000 tasks of one core.
const ceiling = 1_000_000

func newAllowanceFleet(teams, shards int) *allowanceFleet {
	f := &allowanceFleet{clock: clock.NewFake(time.Now()), managers: map[string]*allowance.Manager{}, teams: teams}
	f.store = standin.NewStore(f.clock)
	ceilings := allowance.Ceilings{Version: 1, Teams: map[string]resource.Vector{}}
	for team := range teams {
		ceilings.Teams[teamName(team)] = resource.Vector{MilliCPU: ceiling}
	}
	for i := range shards {
		f.shards = append(f.shards, fmt.Sprintf("zone-%d-0", i+1))
	}
	for _, shard := range f.shards {
		f.managers[shard] = allowance.NewManager(allowance.Options{
			Store: f.store, Clock: f.clock, Writer: shard, Donors: f, Limiter: f,
			Ceilings: func() allowance.Ceilings { return ceilings }, Shards: func() []string { return f.shards },
			Check: func(string) error { return nil },
		})
		f.managers[shard].AddShard(shard)
	}
	return f
}

// GiveBack implements allowance.DonorClient.
func (f *allowanceFleet) GiveBack(ctx context.Context, r *siskinv1.GiveBackAllowanceRequest) (*siskinv1.GiveBackAllowanceResponse, error) {
	f.asks.Add(1)
	return f.managers[r.GetShard()].GiveBack(ctx, r), nil
}

// SetLimit implements allowance.Limiter.
func (f *allowanceFleet) SetLimit(string, string, resource.Vector) resource.Vector {
	return resource.Vector{}
}

// step sets the demand of every team in every shard, steps every manager once and advances the clock by a second.
func (f *allowanceFleet) step(ctx context.Context, demand int64) {
	for _, shard := range f.shards {
		for team := range f.teams {
			f.managers[shard].SetDemand(shard, teamName(team), resource.Vector{MilliCPU: demand})
		}
		f.managers[shard].Step(ctx)
	}
	f.clock.Advance(time.Second)
}

// BenchmarkAllowance measures the store calls per second for allowances while every team's demand in every shard grows
// beyond its grant every second, while demand is steady, and while every team demands more than its ceiling everywhere.
func BenchmarkAllowance(b *testing.B) {
	for _, size := range []struct{ teams, shards int }{{6, 3}, {45, 3}, {45, 7}} {
		b.Run(fmt.Sprintf("teams=%d/shards=%d", size.teams, size.shards), func(b *testing.B) {
			for b.Loop() {
				measureAllowance(b, newAllowanceFleet(size.teams, size.shards))
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

const allowanceSeconds = 60

func measureAllowance(b *testing.B, f *allowanceFleet) {
	ctx := b.Context()
	share := int64(ceiling / (2 * len(f.shards)))
	f.step(ctx, share)
	report := func(name string, demand func(i int64) int64) {
		before, asks := f.store.Counts(), f.asks.Load()
		for i := range int64(allowanceSeconds) {
			f.step(ctx, demand(i))
		}
		after := f.store.Counts()
		b.ReportMetric(float64(after.Writes-before.Writes)/allowanceSeconds, name+"-writes/s")
		b.ReportMetric(float64(after.Reads-before.Reads)/allowanceSeconds, name+"-reads/s")
		b.ReportMetric(float64(f.asks.Load()-asks)/allowanceSeconds, name+"-asks/s")
	}
	report("growing", func(i int64) int64 { return share + 10*(i+1) })
	report("steady", func(int64) int64 { return share + 10*allowanceSeconds })
	report("saturated", func(int64) int64 { return 2 * ceiling })
	kv, err := f.store.Get(ctx, "allowance/"+teamName(0))
	assert.NilError(b, err)
	b.ReportMetric(float64(len(kv.Value)), "value-B")
}
