package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/resource"
)

// withTeams replaces the fixture's team by teams with shares.
func (f *fixture) withTeams(teams ...policy.Team) {
	queues := []policy.Queue{{Host: "h", Prefix: "/q/", Policy: f.queue}}
	f.state.SetPolicy(policy.New(1, queues, teams, []policy.Service{{Name: testService}}, policy.Limits{}))
}

// runsOf returns the number of active runs of jobs whose identifiers have a prefix.
func (f *fixture) runsOf(prefix string) int {
	n := 0
	for _, runs := range f.running {
		for name := range runs {
			if strings.HasPrefix(name, prefix) {
				n++
			}
		}
	}
	return n
}

// submit adds jobs of one task each for a team.
func (f *fixture) submit(team string, count int, milliCPU int64) {
	for i := range count {
		j := job(fmt.Sprintf("%s%02d", team, i), step(1, milliCPU))
		j.Team, j.AcceptedUnixMs = team, f.unixMs()
		f.state.AddJob(j, nil)
	}
}

// Guards against a team that delays all others by submitting several times its usual load. In the simulated day
// trouble-3 of deployment kvarali-salt-grown, nine in ten jobs of all teams were late while the largest team submitted
// five times its usual load.
func TestBusyTeamLeavesTheOthersTheirShares(t *testing.T) {
	f := newFixture(t, 1)
	f.withTeams(policy.Team{Name: "busy", Share: 50}, policy.Team{Name: "calm", Share: 50})
	f.submit("busy", 20, 2000)
	f.step()
	assert.Equal(t, f.runsOf("busy"), 4, "an unused share must be available to other teams")
	f.submit("calm", 2, 2000)
	f.endAll(infra.OutcomeSucceeded)
	f.step()
	f.step()
	assert.Equal(t, f.runsOf("calm"), 2)
	assert.Equal(t, f.runsOf("busy"), 2)
}

// Guards against counting the shares of teams without work.
func TestIdleTeamsHaveNoShare(t *testing.T) {
	f := newFixture(t, 1)
	f.withTeams(
		policy.Team{Name: "a", Share: 30}, policy.Team{Name: "b", Share: 10}, policy.Team{Name: "idle", Share: 60},
	)
	f.submit("a", 10, 2000)
	f.submit("b", 10, 2000)
	f.step()
	assert.Equal(t, f.runsOf("a"), 3)
	assert.Equal(t, f.runsOf("b"), 1)
}

// Guards against a team above its share that preempts the tasks of other teams.
func TestTeamAboveItsSharePreemptsNoOthers(t *testing.T) {
	f := newFixture(t, 1)
	f.withQueuesAndCeiling(resource.Vector{})
	long := step(3, 2000)
	long.Checkpointing, long.EstimateMs = true, 60_000
	other := job("long", long)
	other.Team = "other"
	f.state.AddJob(other, nil)
	f.state.AddJob(f.urgentJob("quick", step(1, 2000)), nil)
	f.step()
	assert.Equal(t, f.runs(), 4)
	f.state.policy.Teams[testTeam] = policy.Team{Name: testTeam, Share: 10}
	f.state.policy.Teams["other"] = policy.Team{Name: "other", Share: 90}
	f.state.AddJob(f.urgentJob("more", step(1, 2000)), nil)
	for range 4 {
		f.step()
	}
	assert.Equal(t, f.runsOf("long"), 3)
}
