package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"siskinstack.example/siskinstack/resource"
)

// usedResource is a resource of which teams use a share over time.
type usedResource int

const (
	// usedCPU is measured in core-seconds, usedMemory in GiB-seconds, usedAdvice in seconds of the advisor, usedOrders in start
	// orders.
	usedCPU usedResource = iota
	usedMemory
	usedAdvice
	usedOrders
	usedResources
)

const (
	// shortageMemory is how long a resource counts as short after a step waited for it: the longest time until the step is tried
	// again.
	shortageMemory = retryDelayMaxOther
	// minUseLevel and maxUseLevel bound the levels of teams. A level is a factor of two of use against weight, so that teams that
	// differ by less are served by deadline.
	minUseLevel = -2
	maxUseLevel = 3
	// maxSoonRetries is how many steps a plan lets be tried again in the next one. It bounds what such tries cost with hundreds of
	// waiting steps.
	maxSoonRetries = 16
	// maxUsageTeams bounds the memory. Of more teams, those with the least use are forgotten.
	maxUsageTeams = 1024
)

// amounts are amounts of each used resource.
type amounts [usedResources]float64

// teamUse is the decayed use of a team up to a time. rate is what its running tasks add per second.
type teamUse struct {
	used, rate amounts
	at         time.Time
}

// usageLedger holds the use of the teams, in which the past counts half after each half-life, and what each class of steps waits
// for. A nil ledger records nothing.
type usageLedger struct {
	halfLife time.Duration
	now      time.Time
	teams    map[string]*teamUse
	// short is when a step of a class last waited for a resource.
	short map[class][usedResources]time.Time
	// room is which of CPU and memory the running tasks use more of, in the current plan.
	room usedResource
	// soonRetries is how many steps the current plan lets be tried again in the next one.
	soonRetries int
}

func newUsageLedger(halfLife time.Duration) *usageLedger {
	if halfLife <= 0 {
		return nil
	}
	return &usageLedger{halfLife: halfLife, teams: map[string]*teamUse{}, short: map[class][usedResources]time.Time{}}
}

// advance begins a plan: it sets the time up to which changes count.
func (l *usageLedger) advance(now time.Time) {
	if l == nil {
		return
	}
	l.soonRetries = 0
	if now.After(l.now) {
		l.now = now
	}
}

// settle brings a team's use up to the current time. What ran at a constant rate counts with the weight of its time.
func (l *usageLedger) settle(u *teamUse) {
	elapsed := l.now.Sub(u.at)
	if u.at.IsZero() || elapsed <= 0 {
		u.at = l.now
		return
	}
	kept := math.Exp2(-elapsed.Seconds() / l.halfLife.Seconds())
	for i := range u.used {
		u.used[i] = u.used[i]*kept + u.rate[i]*(1-kept)*l.halfLife.Seconds()/math.Ln2
	}
	u.at = l.now
}

func (l *usageLedger) team(name string) *teamUse {
	u := l.teams[name]
	if u == nil {
		if len(l.teams) >= maxUsageTeams {
			l.forgetLeast()
		}
		u = &teamUse{at: l.now}
		l.teams[name] = u
	}
	l.settle(u)
	return u
}

// forgetLeast removes the half of the teams without running tasks that has used the least CPU time.
func (l *usageLedger) forgetLeast() {
	var idle []string
	for name, u := range l.teams {
		if l.settle(u); u.rate[usedCPU] == 0 && u.rate[usedMemory] == 0 {
			idle = append(idle, name)
		}
	}
	slices.SortFunc(idle, func(a, b string) int { return cmp.Compare(l.teams[a].used[usedCPU], l.teams[b].used[usedCPU]) })
	for _, name := range idle[:(len(idle)+1)/2] {
		delete(l.teams, name)
	}
}

// runs records that the resources of a team's running tasks change by an amount.
func (l *usageLedger) runs(team string, change resource.Vector) {
	if l == nil || team == "" {
		return
	}
	u := l.team(team)
	u.rate[usedCPU] += float64(change.MilliCPU) / 1000
	u.rate[usedMemory] += float64(change.MemoryBytes) / (1 << 30)
}

// add charges a team for an amount of a resource that it uses at once.
func (l *usageLedger) add(team string, r usedResource, amount float64) {
	if l != nil && team != "" {
		l.team(team).used[r] += amount
	}
}

// waits records that a step of a class waits for a resource.
func (l *usageLedger) waits(c class, r usedResource) {
	if l == nil {
		return
	}
	seen := l.short[c]
	seen[r] = l.now
	l.short[c] = seen
}

// shortages returns the resources that steps of a class wait for, and whether there are any.
func (l *usageLedger) shortages(c class) (short [usedResources]bool, any bool) {
	seen, known := l.short[c]
	if !known {
		return short, false
	}
	for r, at := range seen {
		if !at.IsZero() && l.now.Sub(at) <= shortageMemory {
			short[r], any = true, true
		}
	}
	if !any {
		delete(l.short, c)
	}
	return short, any
}

// levels returns the level of each team: how many times, as a power of two, its share of the use of the resource that it uses most
// is its share of the weights. Only resources that are short count. Teams without weight are at level 0.
func (l *usageLedger) levels(short [usedResources]bool, weight func(team string) int64, totalWeight int64) map[string]int {
	var total amounts
	for _, u := range l.teams {
		l.settle(u)
		for r := range total {
			total[r] += u.used[r]
		}
	}
	levels := make(map[string]int, len(l.teams))
	for name, u := range l.teams {
		w := weight(name)
		if w <= 0 || totalWeight <= 0 {
			continue
		}
		share := 0.0
		for r, used := range u.used {
			if short[r] && total[r] > 0 {
				share = max(share, used/total[r])
			}
		}
		level := float64(minUseLevel)
		if share > 0 {
			level = math.Round(math.Log2(share * float64(totalWeight) / float64(w)))
		}
		levels[name] = int(min(max(level, minUseLevel), maxUseLevel))
	}
	return levels
}

// orderByUse sorts the steps of a class, while they wait for something, by the levels of their teams, and within a level as before.
func (s *State) orderByUse(steps []ranked) {
	if s.usage == nil || len(steps) < 2 {
		return
	}
	short, contended := s.usage.shortages(steps[0].rank.class)
	if !contended {
		return
	}
	weight := func(team string) int64 { return s.policy.Teams[team].Share }
	levels := s.usage.levels(short, weight, s.activeWeight)
	levelOf := func(r ranked) int {
		team := r.step.job.Record.GetTeam()
		if level, known := levels[team]; known {
			return level
		}
		if weight(team) > 0 {
			return minUseLevel
		}
		return 0
	}
	slices.SortStableFunc(steps, func(a, b ranked) int { return cmp.Compare(levelOf(a), levelOf(b)) })
}

// noteShortage records what a step waits for after a plan, if it waits for something that other teams use.
func (s *State) noteShortage(r ranked, p *placement, slots *AdviceSlots) {
	step, policy := r.step, p.queue.GetAdvice()
	switch {
	case s.usage == nil || step.waiting == 0 || step.advice.inFlight || p.now.Before(step.advice.retryAt) || !s.mayStartOne(step):
	case s.pendingOrders >= r.maxPendingOrders():
		s.usage.waits(r.rank.class, usedOrders)
	case policy != nil && !slots.available(policy):
		s.usage.waits(r.rank.class, usedAdvice)
	default:
		s.usage.waits(r.rank.class, s.usage.room)
	}
}

// setShortRoom determines for the current plan which of CPU and memory is short if a step finds no room.
func (s *State) setShortRoom() {
	if s.usage == nil {
		return
	}
	var running resource.Vector
	for _, use := range s.teams {
		running = running.Add(use.running)
	}
	cpu := resource.Vector{MilliCPU: running.MilliCPU}.DominantShare(s.capacity)
	s.usage.room = usedCPU
	if (resource.Vector{MemoryBytes: running.MemoryBytes}).DominantShare(s.capacity) > cpu {
		s.usage.room = usedMemory
	}
}

// retrySoon lets a step beyond its team's rate that waits only for start orders or for a slot of the advisor be tried in the next
// plan: it is not to wait for longer than the shortage lasts. Only the first such steps of a plan are: no more can be served by
// the few slots that become free before the next plan.
func (s *State) retrySoon(r ranked, now time.Time, slots *AdviceSlots) {
	if s.usage == nil || !r.rank.excess || r.step.waiting == 0 || r.step.nextTry.IsZero() || s.usage.soonRetries >= maxSoonRetries {
		return
	}
	policy := s.queue(r.step.job).GetAdvice()
	if s.pendingOrders >= r.maxPendingOrders() || policy != nil && !slots.available(policy) {
		s.usage.soonRetries++
		r.step.retryDelay, r.step.nextTry = 0, now.Add(retryDelayMin)
	}
}
