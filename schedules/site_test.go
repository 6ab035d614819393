package schedules

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/sharding"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/storeclient"
)

const (
	vmsPerZone     = 2
	workersPerZone = 3
	workerCores    = 4000
	workerMemory   = 16 << 30
	// maxDrift is the largest deviation of a VM's clock rate; package ownership tolerates 4.5%.
	maxDrift = 0.02
	// maxWorkerDrift is the same for workers; the margin of 1 s on a lease of 20 s covers both drifts together.
	maxWorkerDrift = 0.01
)

var (
	workerCapacity = resource.Vector{MilliCPU: workerCores, MemoryBytes: workerMemory}
	zoneNames      = []string{"zone-a", "zone-b", "zone-c"}
	teamNames      = []string{"lab", "ops"}
)

// brokenRules selects the rules that a test breaks deliberately to show that the checker reports it.
type brokenRules struct {
	// ignoreEpochs makes the workers accept calls of every epoch.
	ignoreEpochs bool
	// writeBehind acknowledges writes to the logs before they are performed.
	writeBehind bool
	// keepLimits returns allowance without lowering the shard's limit.
	keepLimits bool
	// rate is the clock rate of all VMs; 0 draws a rate within maxDrift for each VM. A rate below 0.9 makes the margin of
	// the store leases negative.
	rate float64
	// noHold treats a worker that does not answer as one without tasks.
	noHold bool
}

// site is a whole fleet inside a synctest bubble.
type site struct {
	t       *testing.T
	began   time.Time
	clock   clock.Real
	broken  brokenRules
	store   *standin.Store
	workers *standin.Workers
	list    *standin.VMList
	network *network
	signers bundle.Signers

	peers         []ownership.Peer
	shards        []ownership.Shard
	workerNodes   map[string]node
	workerNames   []string
	rates         map[string]float64
	fraction      func() float64 // random fractions for the VMs; safe for concurrent use
	delayedStarts sync.WaitGroup // delayed start calls in flight

	mu           sync.Mutex // guards all fields below
	random       *rand.Rand
	incarnations int64
	vms          map[string]*vm // newest process by VM
	all          []*vm          // all processes, including killed ones
	notes        []string
	failures     []string
	history      history
	// startDelay delays start calls to the workers; their callers get no answer.
	startDelay    time.Duration
	delayedWorker string // the worker of the last delayed start
}

// newSite starts three zones with two entry VMs and three workers each.
func newSite(t *testing.T, seed uint64, broken brokenRules) *site {
	s := &site{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), broken: broken, network: newNetwork(),
		workerNodes: map[string]node{}, vms: map[string]*vm{}, rates: map[string]float64{},
	}
	jitter := rand.New(rand.NewPCG(seed, 2))
	var jitterMu sync.Mutex
	s.fraction = func() float64 {
		jitterMu.Lock()
		defer jitterMu.Unlock()
		return jitter.Float64()
	}
	var workers []infra.VM
	for _, zone := range zoneNames {
		s.shards = append(s.shards, ownership.Shard{Name: sharding.Name(zone, 0), Zone: zone})
		for i := range vmsPerZone {
			name := fmt.Sprintf("%s-e%d", zone, i)
			s.peers = append(s.peers, ownership.Peer{VM: name, Zone: zone})
			s.rates[name] = 1 + maxDrift*(2*s.random.Float64()-1)
			if broken.rate != 0 {
				s.rates[name] = broken.rate
			}
		}
		for i := range workersPerZone {
			name := fmt.Sprintf("%s-w%d", zone, i)
			s.workerNames = append(s.workerNames, name)
			s.workerNodes[name] = node{name: name, zone: zone, kind: kindWorker}
			workers = append(workers, infra.VM{
				Name: name, Role: infra.RoleWorker, Zone: zone, Rack: zone + "-r0",
				Capacity: workerCapacity,
			})
		}
	}
	s.history.bundleChange = make(chan struct{}, 1)
	s.store = standin.NewStore(clock.Real{})
	s.list = standin.NewVMList(clock.Real{}, time.Second, workers)
	s.workers = standin.NewWorkers(clock.Real{}, workers, standin.CommandPlan)
	for _, name := range s.workerNames {
		s.workers.SetClockRate(name, 1+maxWorkerDrift*(2*s.random.Float64()-1))
	}
	var operators []*siskinv1.Operator
	for _, name := range []string{"ann", "bob", "cem"} {
		public := privateKey(name).Public().(ed25519.PublicKey)
		operators = append(operators, &siskinv1.Operator{Name: name, SignOffKey: hex.EncodeToString(public)})
	}
	s.signers = bundle.NewSigners(operators)
	assert.NilError(t, s.putBundle(s.store, s.bundle(1, initialCeilings)))
	s.history.ceilings = append(s.history.ceilings, ceilingChange{at: time.Now(), cores: initialCeilings})
	for _, p := range s.peers {
		s.start(p.VM, p.Zone, s.rates[p.VM])
	}
	return s
}

func privateKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// initialCeilings are in millicores for each team; the fleet has 36,000.
var initialCeilings = map[string]int64{"lab": 16_000, "ops": 14_000}

// serviceQueue returns the queue of a team's services. Sizes are estimated per queue; services accounted at the size of
// batch tasks would use up the ceiling permanently.
func serviceQueue(team string) string { return team + "-services" }

func (s *site) bundle(version int64, ceilings map[string]int64) *siskinv1.Bundle {
	b := &siskinv1.Bundle{Version: version}
	for _, zone := range zoneNames {
		b.Zones = append(b.Zones, &siskinv1.Zone{Name: zone, Region: "r"})
	}
	for i, team := range teamNames {
		b.Teams = append(b.Teams, &siskinv1.Team{Name: team, Share: int64(i + 1), Ceiling: &siskinv1.Resources{
			MilliCpu: ceilings[team], MemoryBytes: 1 << 40,
		}})
		b.Queues = append(b.Queues, &siskinv1.Queue{Name: team, Team: team}, &siskinv1.Queue{Name: serviceQueue(team), Team: team})
	}
	return b
}

// putBundle takes a bundle through proposal, review and sign-off.
func (s *site) putBundle(store infra.Store, b *siskinv1.Bundle) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	registry := bundle.NewRegistry(store, s.signers)
	p, err := registry.Propose(ctx, b, "ann", "")
	if err != nil {
		return err
	}
	p, err = registry.Review(ctx, b.GetVersion(), p.GetContentSha256(), "bob")
	if err != nil {
		return err
	}
	signature, err := bundle.Sign(p, "cem", privateKey("cem"))
	if err != nil {
		return err
	}
	_, err = registry.SignOff(ctx, b.GetVersion(), p.GetContentSha256(), "cem", signature)
	return err
}

// setZone changes the state of a zone through an entry VM.
func (s *site) setZone(v *vm, zone string, state siskinv1.ZoneState) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	store := v.config.WrapStore(v.store.For(storeclient.KindConfig))
	status := &siskinv1.ZoneStatus{}
	revision, err := configstore.Read(ctx, store, configstore.Zone(zone), status)
	if err != nil {
		return err
	}
	value, err := configstore.Encode(&siskinv1.ZoneStatus{
		Zone: zone, State: state, SinceUnixMs: time.Now().UnixMilli(), ChangedBy: v.String(),
	})
	if err != nil {
		return err
	}
	return configstore.Apply(ctx, store, configstore.Write{Key: configstore.Zone(zone), Value: value, Expected: revision})
}

// current returns the newest process of a VM.
func (s *site) current(name string) *vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms[name]
}

// live returns a random running VM.
func (s *site) live() *vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []*vm
	for _, p := range s.peers {
		if v := s.vms[p.VM]; v.background.Err() == nil {
			running = append(running, v)
		}
	}
	return running[s.random.IntN(len(running))]
}

// note records an event for the failure report.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	s.notes = append(s.notes, line)
}

const maxFailures = 20

// fail records a violated guarantee, up to maxFailures.
func (s *site) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.failures) < maxFailures {
		line := fmt.Sprintf("%8.3f ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
		s.failures = append(s.failures, line)
	}
}

// close kills every running process and waits for all of them.
func (s *site) close() {
	for _, v := range s.all {
		if v.background.Err() == nil {
			v.kill()
		}
	}
	for _, v := range s.all {
		v.tasks.Wait()
	}
	s.delayedStarts.Wait()
}
