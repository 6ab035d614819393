package scheduler

import (
	"sort"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler/policy/order"
)

// team is the state of a team: its usage, its fair share and its queues.
type team struct {
	Team
	known            bool            // SetTeam has been called; other teams start no tasks
	running          resource.Vector // allocations of running tasks
	runningElsewhere resource.Vector
	// waitingElsewhere is what the team wants to run in other shards beyond what it runs there.
	waitingElsewhere resource.Vector
	waiting          resource.Vector // declared resources of queued tasks that are not parked
	stopping         resource.Vector // part of running that is being stopped
	reclaimed        resource.Vector // capacity being freed for this team
	share            float64         // dominant share of the fleet, divided by the weight
	fairShare        float64
	queues           [queueCount]jobQueue
	candidate        *job
	candidateQueue   int
	hasVictims       bool // tasks may be preempted: it has more than its fair share, or urgent work of its own waits
	exhausted        bool // no candidate is left in this pass
}

// SetTeam adds or changes a team.
func (c *Cell) SetTeam(t Team) {
	state := c.team(t.Name)
	if state.known && state.Team == t {
		return
	}
	state.Team = t
	state.known = true
	c.topologyVersion++
	c.capacityVersion++
}

// SetRunningElsewhere records what a team has running in other shards.
func (c *Cell) SetRunningElsewhere(name string, used resource.Vector) {
	c.team(name).runningElsewhere = used
}

// SetWaitingElsewhere records what a team wants to run in other shards beyond what it runs there. It counts towards the
// team's fair share, so that other teams do not borrow here what the team can use in other shards.
func (c *Cell) SetWaitingElsewhere(name string, waiting resource.Vector) {
	c.team(name).waitingElsewhere = waiting
}

// SetFleetCapacity records the capacity of the whole fleet, relative to which shares are computed.
func (c *Cell) SetFleetCapacity(capacity resource.Vector) { c.fleet = capacity }

// TeamRunning returns what a team has running or starting in this cell.
func (c *Cell) TeamRunning(name string) resource.Vector {
	if state, ok := c.teams[name]; ok {
		return state.running
	}
	return resource.Vector{}
}

// TeamWaiting returns the declared resources of a team's queued tasks whose jobs are not parked.
func (c *Cell) TeamWaiting(name string) resource.Vector {
	if state, ok := c.teams[name]; ok {
		return state.waiting
	}
	return resource.Vector{}
}

// TeamDemand returns what a team would have running if all its queued tasks whose jobs are not parked had started. Each
// queued task counts with its allocation on the largest worker, which exceeds the declared size if the learned one is larger.
// Without a usable worker queued tasks do not count: they would hold a part of the ceiling that other shards could use.
func (c *Cell) TeamDemand(name string) resource.Vector {
	t, ok := c.teams[name]
	if !ok {
		return resource.Vector{}
	}
	demand := t.running
	if len(c.capacityCounts) == 0 {
		return demand
	}
	for _, s := range c.shapes {
		if s.waiting > 0 && s.class.team == name {
			c.refreshShape(s, t)
			demand = demand.Add(s.need.Scale(int64(s.waiting)))
		}
	}
	return demand
}

// WaitingGangs returns the waiting gang jobs that are not parked, in no particular order.
func (c *Cell) WaitingGangs() []string {
	var waiting []string
	for id, j := range c.jobs {
		if j.Kind == Gang && j.counts.Queued > 0 && j.parked == WaitNone && !j.cancelled {
			waiting = append(waiting, id)
		}
	}
	return waiting
}

// FairShare returns a team's fair share of the fleet, as of the last pass, and the dominant share that it uses.
func (c *Cell) FairShare(name string) (fairShare, used float64) {
	state, ok := c.teams[name]
	if !ok {
		return 0, 0
	}
	return state.fairShare, state.running.Add(state.runningElsewhere).DominantShare(c.fleetCapacity())
}

func (c *Cell) team(name string) *team {
	if state, ok := c.teams[name]; ok {
		return state
	}
	state := &team{Team: Team{Name: name, Share: 1}}
	c.teams[name] = state
	at := sort.Search(len(c.teamList), func(i int) bool { return c.teamList[i].Name > name })
	c.teamList = append(c.teamList, nil)
	copy(c.teamList[at+1:], c.teamList[at:])
	c.teamList[at] = state
	return state
}

// refreshShare recomputes the weighted share of a team.
func (c *Cell) refreshShare(t *team) {
	t.share = c.options.Policies.Order.Share(t.running.Add(t.runningElsewhere), c.fleetCapacity(), t.Share)
}

// refreshFairShares splits the fleet over the teams that have running or waiting work.
func (c *Cell) refreshFairShares() {
	fleet := c.fleetCapacity()
	demands := make([]order.Demand, len(c.teamList))
	shares := make([]float64, len(c.teamList))
	for i, t := range c.teamList {
		wanted := t.running.Add(t.waiting)
		if t.known {
			wanted = wanted.Min(t.Limit.Max(t.running))
		}
		demands[i] = order.Demand{Weight: t.Share, Wanted: wanted.Add(t.runningElsewhere).Add(t.waitingElsewhere).DominantShare(fleet)}
	}
	c.options.Policies.Order.FairShares(demands, shares)
	for i, t := range c.teamList {
		t.fairShare = shares[i]
		c.refreshShare(t)
	}
}

// dominantShareWith returns the dominant share of a team when extra is added to what it runs.
func (c *Cell) dominantShareWith(t *team, extra resource.Vector) float64 {
	return t.running.Add(t.runningElsewhere).Add(extra).DominantShare(c.fleetCapacity())
}
