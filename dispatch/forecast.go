package dispatch

import (
	"maps"
	"slices"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/forecast"
)

const (
	// maxForecasts bounds the classes of a forecast and with that the size of a message.
	maxForecasts = 64
	// maxObjective keeps a multiple of the objective of a job with many steps of the longest duration within a duration.
	maxObjective = 365 * 24 * time.Hour
)

// waitForecast holds the measurements and the newest forecast.
type waitForecast struct {
	measured *forecast.Measurements
	waits    map[forecast.Class]forecast.Wait
	outcomes []ForecastOutcome
}

// arrival is when a job became known to this controller, and the wait that was forecast for it then. The time is 0 until
// the first plan after that.
type arrival struct {
	unixMs   int64
	forecast forecast.Wait
	begun    bool
}

// ForecastOutcome is the wait of a job until its first start beside its forecast.
type ForecastOutcome struct {
	Forecast forecast.Wait
	Waited   time.Duration
}

// TeamForecast describes a team that uses its rate or is above its share.
type TeamForecast struct {
	Team string
	// WithinRateIn is the time until a job of the team is within its rate again if the team submits nothing. It is negative if
	// more than one is.
	WithinRateIn time.Duration
	AboveShare   bool
	// Rate is the team's rate in jobs a second.
	Rate int64
}

func newWaitForecast(limits Limits) *waitForecast {
	if !limits.Forecast {
		return nil
	}
	return &waitForecast{}
}

// begin begins the measurements with the first plan.
func (f *waitForecast) begin(now time.Time) {
	if f.measured == nil {
		f.measured = forecast.NewMeasurements(now)
	}
}

// noteArrival records when a job became known.
func (s *State) noteArrival(j *Job) {
	if s.forecast == nil {
		return
	}
	j.arrival.unixMs = s.planUnixMs
	j.arrival.forecast = s.forecast.waits[forecastClass(j)]
	j.arrival.begun = j.Ended() || j.hasStarted() || j.placed > 0
}

// noteStart records a planned start. It counts when it is planned, because what comes after depends on the store and the
// worker, and not on what waits.
func (s *State) noteStart(t *Task) {
	f := s.forecast
	if f == nil {
		return
	}
	f.begin(s.planTime)
	f.measured.TaskStarted(s.planTime)
	j := t.step.job
	if j.arrival.begun {
		return
	}
	j.arrival.begun = true
	if !isForecast(t.step) || j.arrival.unixMs == 0 {
		return
	}
	waited := time.Duration(s.planUnixMs-j.arrival.unixMs) * time.Millisecond
	f.measured.JobStarted(s.planTime, forecastClass(j))
	if j.arrival.forecast.Upper > 0 && len(f.outcomes) < maxForecasts {
		f.outcomes = append(f.outcomes, ForecastOutcome{j.arrival.forecast, waited})
	}
}

// isForecast reports whether a step is one whose first start is forecast.
func isForecast(step *Step) bool {
	return len(step.spec.GetAfter()) == 0 && !step.spec.GetLongRunning() && step.job.Record.GetOccurrences() == 0
}

func forecastClass(j *Job) forecast.Class {
	return forecast.Class{Queue: j.Record.GetQueue().GetName(), Excess: j.excess}
}

// Forecast returns the waits of the classes of which jobs wait without a start, computed after a plan. It returns nil if waits
// are not forecast.
func (s *State) Forecast(now time.Time, unixMs int64) []forecast.Wait {
	f := s.forecast
	if f == nil || s.policy == nil {
		return nil
	}
	f.begin(now)
	waits := f.measured.Compute(now, s.waitingClasses(unixMs))
	f.waits = make(map[forecast.Class]forecast.Wait, len(waits))
	for _, w := range waits {
		f.waits[w.Class] = w
	}
	return waits
}

// TakeForecastOutcomes removes and returns the outcomes since the last call.
func (s *State) TakeForecastOutcomes() []ForecastOutcome {
	if s.forecast == nil {
		return nil
	}
	outcomes := s.forecast.outcomes
	s.forecast.outcomes = nil
	return outcomes
}

// waitingClasses returns the jobs that wait for their first start, by class. Work that its team's ceiling holds back waits for
// its own team, and work that is late waits behind any other.
func (s *State) waitingClasses(unixMs int64) []forecast.Waiting {
	classes := map[forecast.Class]forecast.Waiting{}
	jobs := map[*Job]struct{}{}
	for step := range s.frontier {
		j := step.job
		if j.arrival.begun || !isForecast(step) || step.waiting == 0 || j.Ended() || j.setAside ||
			unixMs > step.occurrence.uselessUnixMs() || !s.mayStartOne(step) {
			continue
		}
		if j.arrival.unixMs == 0 {
			j.arrival.unixMs = unixMs
		}
		class := forecastClass(j)
		waiting, known := classes[class]
		if !known && len(classes) >= maxForecasts {
			continue
		}
		if _, counted := jobs[j]; !counted {
			jobs[j] = struct{}{}
			waiting.Jobs++
		}
		waiting.Class = class
		waiting.OldestWait = max(waiting.OldestWait, time.Duration(unixMs-j.arrival.unixMs)*time.Millisecond)
		classes[class] = waiting
	}
	return slices.Collect(maps.Values(classes))
}

// ForecastTeams returns the teams that use their rate or are above their share.
func (s *State) ForecastTeams(unixMs int64) []TeamForecast {
	if s.forecast == nil || s.policy == nil {
		return nil
	}
	var teams []TeamForecast
	for name, use := range s.teams {
		rate := float64(s.policy.Teams[name].Share)
		if name == "" || rate <= 0 {
			continue
		}
		team := TeamForecast{Team: name, Rate: s.policy.Teams[name].Share}
		budget := use.budgetAt(rate, unixMs)
		team.WithinRateIn = time.Duration((1 - budget) / rate * float64(time.Second))
		team.AboveShare = s.activeWeight > 0 && use.running.DominantShare(s.capacity) > rate/float64(s.activeWeight)
		if budget < rate || team.AboveShare {
			teams = append(teams, team)
		}
	}
	return teams
}

// budgetAt returns the number of further jobs that are not in excess at a time.
func (u *teamUsage) budgetAt(rate float64, unixMs int64) float64 {
	if u.budgetUpdated == 0 {
		return rate
	}
	return min(rate, u.budget+rate*float64(max(0, unixMs-u.budgetUpdated))/1000)
}

// uselessUnixMs returns when the result of the occurrence is of no use any more.
func (o *occurrence) uselessUnixMs() int64 {
	return o.dueUnixMs + lateFactor*(o.deadlineUnixMs-o.dueUnixMs)
}

// UsefulFor returns the time after its arrival in which the result of a job is of use, or 0 if its queue sets no objective.
func UsefulFor(record *siskinv1.Workflow) time.Duration {
	return lateFactor * min(max(0, newChain(record).objective()), maxObjective)
}
