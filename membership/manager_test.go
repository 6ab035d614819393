package membership

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/resource"
)

// mesh is a set of managers on one time line. Their rounds run one after another; the concurrent sends of a round change
// only state that the managers' own locks guard.
type mesh struct {
	line     *clock.TimeLine
	clock    *clock.Stepping
	managers []*Manager
	locals   []Local
	dropped  map[string]bool // by "from to": messages of this direction are dropped
}

func newMesh(n int) *mesh {
	line := &clock.TimeLine{}
	s := &mesh{line: line, clock: clock.NewStepping(line, time.Unix(1000, 0), 1), dropped: map[string]bool{}}
	s.locals = make([]Local, n)
	for i := range n {
		s.managers = append(s.managers, s.start(i, n, 1))
	}
	return s
}

func vmName(i int) string { return fmt.Sprintf("vm%d", i) }

func (s *mesh) start(i, n int, incarnation int64) *Manager {
	var peers []Peer
	for j := range n {
		if j != i {
			peers = append(peers, Peer{VM: vmName(j)})
		}
	}
	return NewManager(Options{
		VM: vmName(i), Incarnation: incarnation, Clock: s.clock, Peers: peers,
		Sender: &link{mesh: s, from: i}, Local: func() Local { return s.locals[i] },
	})
}

type link struct {
	mesh *mesh
	from int
}

func (l *link) Heartbeat(
	_ context.Context, vm string, request *siskinv1.HeartbeatRequest,
) (*siskinv1.HeartbeatResponse, error) {
	lost := errors.New("lost")
	if l.mesh.dropped[vmName(l.from)+" "+vm] {
		return nil, lost
	}
	for i, target := range l.mesh.managers {
		if vmName(i) != vm {
			continue
		}
		response, err := target.Receive(request)
		if l.mesh.dropped[vm+" "+vmName(l.from)] {
			return nil, lost
		}
		return response, err
	}
	return nil, lost
}

func (s *mesh) rounds(n int, senders ...int) {
	for range n {
		for _, i := range senders {
			s.managers[i].round(context.Background())
		}
		s.line.Advance(Interval)
	}
}

func (s *mesh) member(of, about int) Member {
	for _, member := range s.managers[of].Members() {
		if member.VM == vmName(about) {
			return member
		}
	}
	return Member{}
}

// Guards against an unreachable peer that becomes dead without being suspect first, and against one that never does.
func TestSuspectBeforeDead(t *testing.T) {
	s := newMesh(3)
	s.rounds(2, 0, 1, 2)
	assert.Equal(t, s.member(0, 1).Status, Alive)
	s.dropped["vm0 vm1"], s.dropped["vm1 vm0"] = true, true
	s.rounds(suspectRounds+1, 0, 2)
	assert.Equal(t, s.member(0, 1).Status, Suspect)
	assert.Assert(t, s.managers[0].CanAcquire("vm1"))
	s.rounds(deadRounds-suspectRounds, 0, 2)
	assert.Equal(t, s.member(0, 1).Status, Dead)
	assert.Assert(t, !s.managers[0].CanAcquire("vm1"))
	s.dropped = map[string]bool{}
	s.rounds(1, 0)
	assert.Equal(t, s.member(0, 1).Status, Alive)
}

// Guards against peers that are marked dead because this process was paused, or because their responses are late or
// lost.
func TestPausedOrSlowIsNotDead(t *testing.T) {
	s := newMesh(2)
	s.rounds(2, 0, 1)
	s.line.Advance(time.Hour)
	s.managers[0].updateStatuses()
	assert.Equal(t, s.member(0, 1).Status, Alive)
	s.dropped["vm1 vm0"] = true // responses are lost, but vm0 still receives the heartbeats of vm1
	for range 20 {
		_, err := s.managers[0].Receive(s.managers[1].request())
		assert.NilError(t, err)
		s.rounds(1, 0)
	}
	assert.Equal(t, s.member(0, 1).Status, Alive)
}

// Guards against a replaced VM whose late messages overwrite those of its successor.
func TestNewIncarnationSupersedes(t *testing.T) {
	s := newMesh(2)
	s.locals[1].Shards = []*siskinv1.ShardLoad{{Shard: "a-0", Epoch: 5}}
	old := s.managers[1]
	late := old.request()
	s.rounds(1, 0, 1)
	assert.Equal(t, len(s.managers[0].Loads()), 1)
	s.locals[1] = Local{}
	s.managers[1] = s.start(1, 2, 2)
	s.rounds(1, 1)
	assert.Equal(t, s.member(0, 1).Incarnation, int64(2))
	assert.Equal(t, len(s.managers[0].Loads()), 0)
	_, err := s.managers[0].Receive(late)
	assert.ErrorIs(t, err, ErrStale)
	_, err = s.managers[0].Receive(&siskinv1.HeartbeatRequest{Vm: "stranger"})
	assert.ErrorIs(t, err, ErrUnknownPeer)
}

// Guards against usage that is counted twice while the former owner of a shard still reports it.
func TestUsageCountsNewestEpochOnly(t *testing.T) {
	s := newMesh(3)
	report := func(epoch, cpu int64) Local {
		return Local{
			Shards: []*siskinv1.ShardLoad{{Shard: "a-0", Epoch: epoch}},
			Usage: []*siskinv1.TeamUsage{
				{Team: "lab", Shard: "a-0", Running: &siskinv1.Resources{MilliCpu: cpu}},
			},
		}
	}
	s.locals[0], s.locals[1] = report(4, 100), report(9, 70)
	s.rounds(1, 0, 1, 2)
	for _, m := range s.managers {
		assert.Equal(t, m.Loads()["a-0"].VM, "vm1")
		assert.Equal(t, m.TeamUsage()["lab"].Running, resource.Vector{MilliCPU: 70})
	}
}

// Guards against a configuration that counts as fresh although one peer did not respond, or responded before.
func TestFreshnessNeedsEveryPeer(t *testing.T) {
	s := newMesh(3)
	s.locals[2].ConfigRevision = 12
	s.rounds(1, 0)
	since := s.clock.Now()
	assert.Assert(t, !s.managers[0].AllPeersConfirmed(since).All)
	s.dropped["vm1 vm0"] = true
	s.rounds(1, 0, 1, 2)
	assert.Assert(t, !s.managers[0].AllPeersConfirmed(since).All)
	s.dropped = map[string]bool{}
	s.rounds(1, 0)
	assert.Equal(t, s.managers[0].AllPeersConfirmed(since), Confirmation{All: true, Revision: 12, VM: "vm2"})
}

// Guards against an unbounded number of heartbeats per round in a large mesh, and against peers that the rotation skips.
func TestFanoutIsBounded(t *testing.T) {
	const vms = 40
	s := newMesh(vms)
	s.rounds(1, 0)
	assert.Equal(t, s.managers[0].Stats().Sent, int64(defaultFanout))
	s.rounds(2, 0)
	for _, member := range s.managers[0].Members() {
		assert.Equal(t, member.Status, Alive, member.VM)
	}
	s.rounds(3*suspectRounds, 0)
	for _, member := range s.managers[0].Members() {
		assert.Equal(t, member.Status, Alive, member.VM)
	}
}

// Guards against heartbeats that exceed the control budget of 9 KB a second per node, at the design size of 45 teams
// with two shards per VM, six peers and both directions.
func TestBytesPerHeartbeat(t *testing.T) {
	const teams, shards, budget = 45, 2, 9000
	s := newMesh(7)
	for j := range shards {
		shard := fmt.Sprintf("taichung-1-%d", j)
		free := resource.Vector{MilliCPU: 1 << 40, MemoryBytes: 1 << 50, Accelerators: 1 << 20}.Proto()
		s.locals[0].Shards = append(s.locals[0].Shards, &siskinv1.ShardLoad{
			Shard: shard, Epoch: 1 << 40, Free: free, QueuedTasks: 1 << 20, RunningTasks: 1 << 20,
		})
		for i := range teams {
			amount := resource.Vector{MilliCPU: 1 << 23, MemoryBytes: 1 << 40, Accelerators: 64}.Proto()
			s.locals[0].Usage = append(s.locals[0].Usage, &siskinv1.TeamUsage{
				Team: fmt.Sprintf("team-%02d", i), Shard: shard, Running: amount, Queued: amount,
			})
		}
	}
	const rounds = teams * shards / usagePerHeartbeat
	s.rounds(rounds, 0)
	stats := s.managers[0].Stats()
	perHeartbeat := stats.SentBytes / stats.Sent
	t.Logf("bytes per heartbeat: %d (%d teams, %d shards)", perHeartbeat, teams, shards)
	const heartbeatsPerSecond = 2 * 6
	assert.Assert(t, perHeartbeat*heartbeatsPerSecond < budget)
	assert.Equal(t, len(s.managers[1].TeamUsage()), teams)
}
