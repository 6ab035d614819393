package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/scheduler/naive"
)

// deciders holds the two cores that are compared.
var deciders = map[string]func() decider{
	"core":  func() decider { return fastDecider{scheduler.NewCell()} },
	"naive": func() decider { return naiveDecider{naive.New()} },
}

var deciderNames = []string{"core", "naive"}

// deviation returns the largest difference between a team's part of the used processors and its part of the sum of shares.
func deviation(d *driver, shares []int64) float64 {
	byTeam, total := d.busy()
	sum, worst := int64(0), 0.0
	for _, share := range shares {
		sum += share
	}
	for i, share := range shares {
		worst = max(worst, math.Abs(byTeam[teamName(i)]/max(total, 1)-float64(share)/float64(sum)))
	}
	return worst
}

// BenchmarkFairShare measures the deviation from the fair shares on a full cell with skewed arrivals, and the time to
// converge after other teams join a cell that one team has filled, and after the shares are reversed.
func BenchmarkFairShare(b *testing.B) {
	for _, name := range deciderNames {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				shares := []int64{1, 2, 3, 4, 5, 5}
				d := newDriver(deciders[name]())
				d.fleet(50)
				d.teams(shares...)
				fill(d, []int64{1}, 20)
				d.advance()
				joined := converge(d, shares)
				mean, worst := 0.0, 0.0
				const seconds = 120
				for range seconds {
					backlog(d, shares, 10)
					now := deviation(d, shares)
					mean, worst = mean+now/seconds, max(worst, now)
				}
				for i := range shares {
					shares[i] = 6 - shares[i]
				}
				d.teams(shares...)
				changed := converge(d, shares)
				b.ReportMetric(100*mean, "mean-deviation-%")
				b.ReportMetric(100*worst, "worst-deviation-%")
				b.ReportMetric(joined.Seconds(), "s-to-1%-after-join")
				b.ReportMetric(changed.Seconds(), "s-to-1%-after-change")
				b.ReportMetric(float64(d.stops), "preemptions")
			}
		})
	}
}

// fill submits perWorker tasks of each of the first len(shares) teams for each of 50 workers.
func fill(d *driver, shares []int64, perWorker int) {
	for range 50 * perWorker {
		for team := range shares {
			d.add(d.batch(team), d.exponential(60*time.Second))
		}
	}
}

// backlog submits more work of every team than the cell can run, far more of the first teams, and advances by steps.
func backlog(d *driver, shares []int64, steps int) {
	for team := range shares {
		for range 40 / (team + 1) * 2 {
			if d.unstarted[teamName(team)] < 2000 {
				d.add(d.batch(team), d.exponential(20*time.Second))
			}
		}
	}
	for range steps {
		d.advance()
	}
}

// converge returns how long it takes until the deviation is below 1% of the cell.
func converge(d *driver, shares []int64) time.Duration {
	began := d.now
	for team := range shares {
		for range 800 {
			d.add(d.batch(team), d.exponential(20*time.Second))
		}
	}
	for deviation(d, shares) > 0.01 && d.now-began < 5*time.Minute {
		d.advance()
	}
	return d.now - began
}

// BenchmarkPacking fills a cell with tasks of many shapes until nothing fits, and measures the part of the capacity in use.
func BenchmarkPacking(b *testing.B) {
	for _, workers := range []int{50, 400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				used := map[string]float64{}
				for _, name := range deciderNames {
					used[name] = pack(deciders[name](), workers)
				}
				b.ReportMetric(100*used["core"], "core-%")
				b.ReportMetric(100*used["naive"], "naive-%")
				b.ReportMetric(used["core"]/used["naive"], "ratio")
			}
		})
	}
}

func pack(decider decider, workers int) float64 {
	d := newDriver(decider)
	d.fleet(workers)
	d.teams(1, 1, 1, 1, 1, 1)
	for i := range workers * 12 {
		job := tasks("", scheduler.Batch, vector(1+d.rand.Int63n(32), 1+d.rand.Int63n(64), 0), 1)
		job.Team = teamName(i % 6)
		d.add(job, time.Hour)
	}
	var used resource.Vector
	for range 1 + workers*12/driverStarts {
		d.advance()
	}
	for _, r := range d.ends {
		used = used.Add(r.start.Allocation)
	}
	total := vector(64, 128, 0).Scale(int64(workers))
	return (float64(used.MilliCPU)/float64(total.MilliCPU) + float64(used.MemoryBytes)/float64(total.MemoryBytes)) / 2
}

// BenchmarkZoneDrain drains one of three zones for two minutes under full load, and measures the work done relative to
// the capacity of the zones in service.
func BenchmarkZoneDrain(b *testing.B) {
	const zones, workers = 3, 50
	for b.Loop() {
		var cells []*scheduler.Cell
		var drivers []*driver
		for zone := range zones {
			cells = append(cells, scheduler.NewCell())
			drivers = append(drivers, newDriver(fastDecider{cells[zone]}))
			drivers[zone].prefix = fmt.Sprintf("zone-%d-", zone)
			drivers[zone].fleet(workers)
			drivers[zone].teams(1, 1, 1, 1, 1, 1)
		}
		next := 0
		drivers[0].moved = func(job scheduler.Job) {
			next++
			_, _ = cells[0].Cancel(job.ID)
			to := drivers[1+next%2]
			id := scheduler.TaskID{Job: job.ID}
			to.remaining[id] = drivers[0].remaining[id]
			to.unstarted[job.Team]++
			to.add(job, drivers[0].runTimes[job.ID])
		}
		allowed := 0.0
		for second := range 300 {
			draining := second >= 60 && second < 180
			cells[0].SetDraining(draining)
			for i, d := range drivers {
				if i == 0 && draining {
					d.run(10)
					continue
				}
				allowed += workers * 64
				for team := range 6 {
					for d.unstarted[teamName(team)] < 200 {
						d.add(d.batch(team), d.exponential(30*time.Second))
					}
				}
				d.run(10)
			}
		}
		done := 0.0
		for _, d := range drivers {
			done += d.work + d.inProgress()
		}
		b.ReportMetric(100*done/allowed, "work-%")
		b.ReportMetric(float64(drivers[0].stops), "evacuated")
	}
}

// BenchmarkBadWorkers measures the attempts lost to three of 50 workers that fail every task after a second, for ten
// minutes at 90% load.
func BenchmarkBadWorkers(b *testing.B) {
	for _, name := range deciderNames {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				d := newDriver(deciders[name]())
				d.fleet(50)
				d.teams(1, 1, 1, 1, 1, 1)
				d.bad = map[string]bool{"w3": true, "w20": true, "w41": true}
				arrivals := 0.0
				for d.now < 10*time.Minute {
					arrivals += 0.9 * 47 * 64 / (4.5 * 20) * d.step.Seconds()
					for ; arrivals >= 1; arrivals-- {
						job := d.batch(d.rand.Intn(6))
						job.MaxAttempts = 1_000
						d.add(job, d.exponential(20*time.Second))
					}
					d.advance()
				}
				b.ReportMetric(float64(d.failed), "failed-attempts")
				b.ReportMetric(100*float64(d.failed)/float64(d.next), "failed-per-100-jobs")
			}
		})
	}
}

func (d *driver) run(steps int) {
	for range steps {
		d.advance()
	}
}

// BenchmarkReadyBy measures the part of the jobs with a ready-by time that met it, with declared run times wrong by a
// factor of up to 10. The oracle is the core with the true run times declared.
func BenchmarkReadyBy(b *testing.B) {
	for _, percent := range []int{90, 130} {
		for _, name := range []string{"core", "naive", "oracle"} {
			b.Run(fmt.Sprintf("load=%d/%s", percent, name), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(100*readyBy(name, float64(percent)/100), "ready-%")
				}
			})
		}
	}
}

func readyBy(name string, offered float64) float64 {
	core := name
	if name == "oracle" {
		core = "core"
	}
	d := newDriver(deciders[core]())
	d.fleet(10)
	d.teams(1, 1, 1, 1, 1, 1)
	var timed []scheduler.Job
	arrivals := 0.0
	for d.now < 20*time.Minute {
		// The 10 workers have 640 processors; a task takes 4.5 processors for about 30 s on average.
		arrivals += offered * 640 / (4.5 * 30) * d.step.Seconds()
		for ; arrivals >= 1; arrivals-- {
			job := d.batch(d.rand.Intn(6))
			runFor := d.exponential(30 * time.Second)
			job.Urgency = scheduler.Normal
			job.DeclaredRun = d.randomError(runFor, 10)
			if name == "oracle" {
				job.DeclaredRun = runFor
			}
			slack := time.Duration(2+4*d.rand.Float64())*runFor + 30*time.Second
			if d.rand.Intn(3) == 0 {
				job.ReadyBy = d.now + slack
				job.ID = fmt.Sprintf("timed-%d", len(timed))
				job.Accepted = d.now
				timed = append(timed, job)
			}
			d.add(job, runFor)
		}
		d.advance()
	}
	ready, due := 0, 0
	for _, job := range timed {
		if job.ReadyBy > d.now {
			continue
		}
		due++
		if end, ok := d.done[job.ID]; ok && end <= job.ReadyBy {
			ready++
		}
	}
	return float64(ready) / float64(max(due, 1))
}

// BenchmarkWaiting measures the time from submission to the first start by kind and urgency.
func BenchmarkWaiting(b *testing.B) {
	for _, percent := range []int{70, 90, 100, 130} {
		for _, name := range deciderNames {
			b.Run(fmt.Sprintf("load=%d/%s", percent, name), func(b *testing.B) {
				for b.Loop() {
					waits, used := waiting(name, float64(percent)/100)
					b.ReportMetric(100*used, "used-%")
					for class, waits := range waits {
						b.ReportMetric(quantile(waits, 0.5)/1e6, class+"-p50-s")
						b.ReportMetric(quantile(waits, 0.99)/1e6, class+"-p99-s")
					}
				}
			})
		}
	}
}

// waiting submits mixed jobs for ten minutes, and returns the time from submission to the first start by class, and the part
// of the capacity used for work that was not lost.
func waiting(name string, offered float64) (map[string][]time.Duration, float64) {
	d := newDriver(deciders[name]())
	d.fleet(20)
	d.teams(1, 1, 1, 1, 1, 1)
	classes := map[string]string{}
	arrivals := 0.0
	for d.now < 10*time.Minute {
		arrivals += offered * 20 * 64 / (4.5 * 20) * d.step.Seconds()
		for arrivals >= 1 {
			job, class := d.mixed()
			job.ID = fmt.Sprintf("%s-%d", class, d.next)
			classes[job.ID] = class
			d.add(job, d.exponential(20*time.Second))
			arrivals -= float64(len(job.Indexes)) * float64(job.Each.MilliCPU) / 4500
		}
		d.advance()
	}
	waits := map[string][]time.Duration{}
	for id := range d.remaining {
		accepted := d.jobs[id.Job].Accepted
		start, ok := d.started[id]
		if !ok {
			start = d.now
		}
		waits[classes[id.Job]] = append(waits[classes[id.Job]], start-accepted)
	}
	return waits, (d.work + d.inProgress()) / (20 * 64 * d.now.Seconds())
}

// mixed returns a random job and its class. Of the jobs, 10% are urgent, 15% can wait, 5% are services and 2% are gang jobs
// with eight tasks, which make up about 14% of the tasks; the others are normal batch jobs.
func (d *driver) mixed() (scheduler.Job, string) {
	job := d.batch(d.rand.Intn(6))
	job.Urgency = scheduler.Normal
	switch n := d.rand.Intn(100); {
	case n < 10:
		job.Urgency = scheduler.Urgent
		return job, "urgent"
	case n < 25:
		job.Urgency = scheduler.CanWait
		return job, "can-wait"
	case n < 27:
		job.Kind = scheduler.Gang
		for i := range int32(7) {
			job.Indexes = append(job.Indexes, i+1)
		}
		return job, "gang"
	case n < 32:
		job.Kind = scheduler.Service
		return job, "service"
	default:
		return job, "normal"
	}
}
