package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/estimate"
)

const (
	// maxSamples bounds the runs of a step that are kept until it ends. Which ones does not depend on how long they took.
	maxSamples = 256
	// minPeers is the number of runs on other workers from which a run is compared with them.
	minPeers = 3
	// maxSampleRatio bounds the run time of a task beside the median of its step. One in a hundred takes more than 2.17
	// times the median.
	maxSampleRatio = 4
)

// runEstimates holds what is learned from ended runs. It is nil if Features.RunEstimates is off.
type runEstimates struct {
	speeds   *estimate.Speeds
	runTimes *estimate.RunTimes
	// urgentAt is when an urgent step was last placed.
	urgentAt time.Time
	// nextLog is when the figures are logged again, beyond the number of runs beyond their bound at the last call.
	nextLog time.Time
	beyond  int64
}

func newRunEstimates(features Features) *runEstimates {
	if !features.RunEstimates {
		return nil
	}
	return &runEstimates{speeds: estimate.NewSpeeds(), runTimes: estimate.NewRunTimes()}
}

// sample is a run that succeeded.
type sample struct {
	worker      *Worker
	incarnation int64
	kind        string
	took        time.Duration
	// work is the logarithm of the time that the run takes on a worker of speed 1.
	work float64
}

// kind returns the kind of the worker, which is its first label.
func (w *Worker) kind() string {
	if len(w.Info.Labels) == 0 {
		return ""
	}
	return w.Info.Labels[0]
}

// isMeasured reports whether the run times of a step's tasks show how much work they are. Backfill tasks have no CPU of
// their own, and gang members wait for each other.
func isMeasured(spec *siskinv1.WorkflowStep) bool {
	return !spec.GetLongRunning() && !spec.GetBackfill() && !spec.GetGang()
}

// beginMeasurement records when the start of a run was answered. A run that resumes does only part of the work.
func (t *Task) beginMeasurement(now time.Time) {
	if isMeasured(t.step.spec) && t.checkpoint == "" {
		t.startedAt = now
	}
}

// measureEnd records a run that succeeded, and learns from the step's runs after the last one. A step's runs are compared
// only then: of the runs that have ended earlier, the short ones are more than their share.
func (s *State) measureEnd(t *Task, w *Worker, now time.Time) {
	if s.estimates == nil {
		return
	}
	step, took := t.step, now.Sub(t.startedAt)
	remote := step.spec.GetPreferredRack() != "" && !w.hasLabel(step.spec.GetPreferredRack())
	if !t.startedAt.IsZero() && took > 0 && !t.stop && !t.done && !remote && t.index < maxSamples {
		step.samples = append(step.samples, sample{
			worker: w, incarnation: w.Info.Incarnation, kind: w.kind(), took: took,
		})
	}
	if step.unfinished <= 1 {
		s.estimates.learn(step, now)
		step.samples = nil
	}
}

// learn learns from the ended runs of a step.
func (e *runEstimates) learn(step *Step, now time.Time) {
	samples := step.samples
	if len(samples) == 0 {
		return
	}
	works := make([]float64, len(samples))
	for i := range samples {
		r := &samples[i]
		speed, _ := e.speeds.Speed(r.worker.Info.ID, r.incarnation, r.kind, now)
		r.work = math.Log(float64(r.took)) + math.Log(speed)
		works[i] = r.work
	}
	slices.Sort(works)
	median, bound := works[len(works)/2], math.Log(maxSampleRatio)
	sum := 0.0
	for i := range samples {
		r := &samples[i]
		r.work = min(max(r.work, median-bound), median+bound)
		sum += r.work
	}
	e.learnSpeeds(samples, sum, now)
	callers := time.Duration(step.spec.GetEstimateMs()) * time.Millisecond
	for _, r := range samples {
		e.runTimes.Observe(step.job.Record.GetQueue().GetName(), callers, time.Duration(math.Exp(r.work)), now)
	}
}

// learnSpeeds compares the runs on each worker with those of the same step on all others; sum is that of all their work.
func (e *runEstimates) learnSpeeds(samples []sample, sum float64, now time.Time) {
	slices.SortStableFunc(samples, func(a, b sample) int {
		return cmp.Or(strings.Compare(a.worker.Info.ID, b.worker.Info.ID), cmp.Compare(a.incarnation, b.incarnation))
	})
	for from := 0; from < len(samples); {
		to, own, took := from, 0.0, 0.0
		for to < len(samples) && samples[to].worker == samples[from].worker && samples[to].incarnation == samples[from].incarnation {
			own += samples[to].work
			took += math.Log(float64(samples[to].took))
			to++
		}
		r, runs, peers := samples[from], float64(to-from), float64(len(samples)-(to-from))
		from = to
		// Runs of an earlier incarnation, or of a worker that was removed, would replace what is known of the present one.
		if peers < minPeers || r.incarnation != r.worker.Info.Incarnation || !r.worker.Listed {
			continue
		}
		// The mean of the peers varies as well, so the runs count for less than their number.
		relative := (sum-own)/peers - took/runs
		e.speeds.Observe(r.worker.Info.ID, r.incarnation, r.kind, math.Exp(relative), runs*peers/(runs+peers), now)
	}
}
