package dispatch

import (
	"time"

	"siskinstack.example/siskinstack/resource"
)

// setShares computes the base of the teams' shares for the current plan: the capacity of the listed, reachable workers
// outside evacuated zones, and the total weight of the teams with running or waiting work.
func (s *State) setShares() {
	s.capacity = resource.Vector{}
	for _, z := range s.openZones {
		s.capacity = s.capacity.Add(z.capacity)
	}
	s.activeWeight = 0
	for name := range s.waitingTeams {
		s.activeWeight += s.policy.Teams[name].Share
	}
	for name, use := range s.teams {
		if _, waiting := s.waitingTeams[name]; !waiting && !use.running.IsZero() {
			s.activeWeight += s.policy.Teams[name].Share
		}
	}
}

// aboveShare reports whether one more task of a step would bring its team's dominant share above the team's weighted
// share of the fleet. Work without a team is never above.
func (s *State) aboveShare(step *Step) bool {
	team := step.job.Record.GetTeam()
	weight := s.policy.Teams[team].Share
	if team == "" || weight <= 0 {
		return false
	}
	next := s.team(team).running.Add(declaredResources(step.spec))
	return next.DominantShare(s.capacity) > float64(weight)/float64(s.activeWeight)
}

// planSteps plans the steps of one class, those of teams below their share first, so that on a full fleet only the
// teams that submit more than their share wait.
func (s *State) planSteps(steps []ranked, now time.Time, slots *AdviceSlots, plan *Plan) {
	s.orderByUse(steps)
	var overShare []ranked
	for _, r := range steps {
		s.reserveCeiling(r, now)
		r.step.overShare = s.aboveShare(r.step)
		if r.step.overShare {
			overShare = append(overShare, r)
			continue
		}
		s.contain(r.step.job, func() { s.planStep(r, now, slots, plan) })
	}
	for _, r := range overShare {
		s.contain(r.step.job, func() { s.planStep(r, now, slots, plan) })
	}
}
