package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"siskinstack.example/siskinstack/scheduler"
)

// BenchmarkFullCellPass measures passes at the design size on a full cell with 45 teams of which each has 200 waiting
// jobs of different shapes, with 32 ends and 32 submissions per pass: 1,600 starts a second at 20 ms between passes.
func BenchmarkFullCellPass(b *testing.B) {
	l := newLoad(9_800, false)
	for i := range benchTeams * 200 {
		job := tasks(fmt.Sprintf("wait-%d", i), scheduler.Batch, vector(1, 1, 0), 50)
		job.Each.MilliCPU += int64(i%200) * 10
		job.Team = fmt.Sprintf("team-%02d", i%benchTeams)
		if err := l.core.Submit(job); err != nil {
			b.Fatal(err)
		}
	}
	for n := 1; n > 0; {
		n = l.plan(1024)
	}
	var took []time.Duration
	starts := 0
	for b.Loop() {
		l.endSome(32)
		l.submit(32)
		began := time.Now()
		starts += l.plan(256)
		took = append(took, time.Since(began))
	}
	b.ReportMetric(quantile(took, 0.5), "p50-µs")
	b.ReportMetric(quantile(took, 0.99), "p99-µs")
	b.ReportMetric(float64(starts)/float64(len(took)), "starts/pass")
}

// BenchmarkReclaimPass measures passes at the design size in which a new team reclaims its share from 45 others.
func BenchmarkReclaimPass(b *testing.B) {
	l := newLoad(9_800, false)
	fill := tasks("fill", scheduler.Batch, vector(2, 2, 0), 100_000)
	fill.Team, fill.Checkpoint = "team-00", true
	if err := l.core.Submit(fill); err != nil {
		b.Fatal(err)
	}
	for n := 1; n > 0; {
		n = l.plan(4096)
	}
	l.core.SetTeam(scheduler.Team{Name: "late", Share: 8, Limit: unlimited})
	claim := tasks("claim", scheduler.Batch, vector(2, 2, 0), 100_000)
	claim.Team = "late"
	if err := l.core.Submit(claim); err != nil {
		b.Fatal(err)
	}
	var took []time.Duration
	stops := 0
	for b.Loop() {
		l.now += 20 * time.Millisecond
		began := time.Now()
		plan := l.core.Plan(l.now, 256)
		took = append(took, time.Since(began))
		stops += len(plan.Stops)
		for _, stop := range plan.Stops {
			_ = l.core.Ended(stop.Task, stop.Attempt, scheduler.Stopped, l.now)
		}
	}
	b.ReportMetric(quantile(took, 0.5), "p50-µs")
	b.ReportMetric(quantile(took, 0.99), "p99-µs")
	b.ReportMetric(float64(stops)/float64(len(took)), "stops/pass")
}

// BenchmarkRareEvents measures a pass after a limit was lowered, a pass that reserves workers for a gang job, and Explain.
func BenchmarkRareEvents(b *testing.B) {
	b.Run("limit", func(b *testing.B) {
		l := newLoad(9_800, false)
		for b.Loop() {
			l.now += time.Second
			l.core.SetTeam(scheduler.Team{Name: "team-01", Share: 1, Limit: vector(100, 100, 0)})
			l.core.Plan(l.now, 256)
		}
	})
	b.Run("reservation", func(b *testing.B) {
		l := newLoad(9_800, false)
		fill := tasks("fill", scheduler.Batch, vector(1, 1, 0), 100_000)
		fill.Team = "team-00"
		if err := l.core.Submit(fill); err != nil {
			b.Fatal(err)
		}
		for n := 1; n > 0; {
			n = l.plan(4096)
		}
		gang := tasks("gang", scheduler.Gang, vector(32, 64, 0), 256)
		gang.Team = "team-01"
		if err := l.core.Submit(gang); err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			l.now += 2 * time.Minute // so that the earlier reservation has expired
			l.core.Plan(l.now, 256)
		}
		if id, workers := l.core.Reservation(); id != "gang" || len(workers) == 0 {
			waiting, _ := l.core.Explain("gang")
			b.Fatalf("%d workers are reserved for %q, the gang job waits because of %v", len(workers), id, waiting)
		}
	})
	b.Run("explain", func(b *testing.B) {
		l := newLoad(9_800, false)
		id := l.submit(10)
		for b.Loop() {
			_, _ = l.core.Explain(id)
		}
	})
}

// BenchmarkFairShareLarge measures the deviation from the fair shares with 45 teams on 1,400 workers, all with waiting work.
func BenchmarkFairShareLarge(b *testing.B) {
	for b.Loop() {
		d := newDriver(fastDecider{scheduler.NewCell()})
		d.fleet(1_400)
		var shares []int64
		for i := range benchTeams {
			shares = append(shares, int64(1+i%5))
		}
		d.teams(shares...)
		mean, worst := 0.0, 0.0
		const warm, seconds = 40, 60
		for second := range warm + seconds {
			for team := range shares {
				for d.unstarted[teamName(team)] < 1_500 {
					d.add(d.batch(team), d.exponential(20*time.Second))
				}
			}
			d.run(10)
			if second >= warm {
				now := deviation(d, shares)
				mean, worst = mean+now/seconds, max(worst, now)
			}
		}
		b.ReportMetric(100*mean, "mean-deviation-%")
		b.ReportMetric(100*worst, "worst-deviation-%")
	}
}
