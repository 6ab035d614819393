package schedules

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/storeclient"
)

const (
	minFaults = 2
	maxFaults = 5
	// Faults begin at random times within faultsWithin after faultsFrom. Jobs are first submitted at random times from the
	// start until workWithin, when the last fault may begin.
	faultsFrom   = 6 * time.Second
	faultsWithin = 30 * time.Second
	workWithin   = 36 * time.Second
	jobs         = 16
)

// fault is one fault: when it begins, how long it lasts, and the actions that begin and end it.
type fault struct {
	name  string
	at    time.Duration
	lasts time.Duration
	begin func()
	end   func()
}

// faultKinds has one generator for each kind of fault. A generator sets name, begin and end, and may change lasts.
var faultKinds = []func(s *site, random *rand.Rand, f *fault){
	drawKill, drawPause, drawZonePartition, drawOneWayPartition, drawStoreDown,
	drawStoreSlow, drawStoreLosesAnswers, drawWorkerUnreachable, drawWorkerKilled,
	drawWorkerFailsTasks, drawWorkerCallFaults, drawDrain, drawCeiling, drawPeerFaults,
}

// drawFaults draws the faults of one schedule.
func drawFaults(s *site, random *rand.Rand) []*fault {
	var faults []*fault
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		f := &fault{
			at:    faultsFrom + time.Duration(random.Int64N(int64(faultsWithin))),
			lasts: time.Second + time.Duration(random.Int64N(int64(29*time.Second))),
		}
		faultKinds[random.IntN(len(faultKinds))](s, random, f)
		faults = append(faults, f)
	}
	return faults
}

func (f *fault) inject(s *site) {
	time.Sleep(f.at)
	s.note("begin %s for %v", f.name, f.lasts)
	f.begin()
	time.Sleep(f.lasts)
	f.end()
	s.note("end %s", f.name)
}

func drawKill(s *site, random *rand.Rand, f *fault) {
	p := s.peers[random.IntN(len(s.peers))]
	f.name = "kill " + p.VM
	var killed *vm
	f.begin = func() {
		if v := s.current(p.VM); v.background.Err() == nil {
			killed = v
			v.kill()
		}
	}
	f.end = func() {
		if killed != nil {
			s.start(p.VM, p.Zone, s.rates[p.VM])
		}
	}
}

func drawPause(s *site, random *rand.Rand, f *fault) {
	p := s.peers[random.IntN(len(s.peers))]
	f.name = "pause " + p.VM
	f.lasts = 500*time.Millisecond + time.Duration(random.Int64N(int64(25*time.Second)))
	var v *vm
	f.begin = func() {
		v = s.current(p.VM)
		v.process.pause()
	}
	f.end = func() { v.process.resume() }
}

func drawZonePartition(s *site, random *rand.Rand, f *fault) {
	zone := zoneNames[random.IntN(len(zoneNames))]
	peers, store := random.IntN(3) != 0, random.IntN(3) != 0
	peers = peers || !store
	f.name = fmt.Sprintf("partition %s, peers %v, store %v", zone, peers, store)
	var heal func()
	f.begin = func() {
		s.history.markUnreachable(s)
		heal = s.network.partition(func(from, to node) bool {
			if from.kind == kindStore || to.kind == kindStore {
				return store && (from.zone == zone || to.zone == zone)
			}
			return peers && (from.zone == zone) != (to.zone == zone)
		})
	}
	f.end = func() { heal() }
}

func drawOneWayPartition(s *site, random *rand.Rand, f *fault) {
	a := s.peers[random.IntN(len(s.peers))].VM
	b := s.peers[random.IntN(len(s.peers))].VM
	f.name = fmt.Sprintf("one-way partition %s to %s", a, b)
	var heal func()
	f.begin = func() {
		heal = s.network.partition(func(from, to node) bool { return from.name == a && to.name == b })
	}
	f.end = func() { heal() }
}

// changeStoreFaults changes the store's faults for all VMs.
func (s *site) changeStoreFaults(change func(*standin.StoreFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.history.storeFaults)
	s.store.SetFaults(s.history.storeFaults)
}

func drawStoreDown(s *site, _ *rand.Rand, f *fault) {
	f.name = "store down"
	f.begin = func() { s.changeStoreFaults(func(f *standin.StoreFaults) { f.Down = true }) }
	f.end = func() { s.changeStoreFaults(func(f *standin.StoreFaults) { f.Down = false }) }
}

func drawStoreSlow(s *site, random *rand.Rand, f *fault) {
	delay := time.Duration(20+random.IntN(1500)) * time.Millisecond
	f.name = fmt.Sprintf("store slow by %v", delay)
	f.begin = func() { s.changeStoreFaults(func(f *standin.StoreFaults) { f.Delay = delay }) }
	f.end = func() { s.changeStoreFaults(func(f *standin.StoreFaults) { f.Delay = 0 }) }
}

func drawStoreLosesAnswers(s *site, random *rand.Rand, f *fault) {
	n := 1 + random.IntN(12)
	f.name = fmt.Sprintf("store loses %d answers", n)
	f.begin = func() { s.changeStoreFaults(func(f *standin.StoreFaults) { f.LoseResponses = n }) }
	f.end = func() { s.changeStoreFaults(func(f *standin.StoreFaults) { f.LoseResponses = 0 }) }
}

// changeWorkerFaults changes the faults of a worker.
func (s *site) changeWorkerFaults(name string, change func(*standin.WorkerFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.workerFaults == nil {
		s.history.workerFaults = map[string]standin.WorkerFaults{}
	}
	faults := s.history.workerFaults[name]
	change(&faults)
	s.history.workerFaults[name] = faults
	s.workers.SetFaults(name, faults)
}

func (s *site) setUnreachable(name string, unreachable bool) {
	s.history.markUnreachable(s)
	s.changeWorkerFaults(name, func(f *standin.WorkerFaults) { f.Unreachable = unreachable })
}

func drawWorkerUnreachable(s *site, random *rand.Rand, f *fault) {
	name := s.workerNames[random.IntN(len(s.workerNames))]
	f.name = "worker unreachable " + name
	f.lasts += time.Duration(random.Int64N(int64(15 * time.Second)))
	f.begin = func() { s.setUnreachable(name, true) }
	f.end = func() { s.setUnreachable(name, false) }
}

func drawWorkerKilled(s *site, random *rand.Rand, f *fault) {
	name := s.workerNames[random.IntN(len(s.workerNames))]
	f.name = "worker killed " + name
	f.begin = func() {
		s.workers.Crash(name)
		s.setUnreachable(name, true)
	}
	f.end = func() { s.setUnreachable(name, false) }
}

func drawWorkerFailsTasks(s *site, random *rand.Rand, f *fault) {
	name := s.workerNames[random.IntN(len(s.workerNames))]
	f.name = "worker fails all tasks " + name
	f.begin = func() {
		s.history.markFailing(s)
		s.changeWorkerFaults(name, func(f *standin.WorkerFaults) { f.FailTasks = true })
	}
	f.end = func() { s.changeWorkerFaults(name, func(f *standin.WorkerFaults) { f.FailTasks = false }) }
}

// maxCallDelay is the longest network delay of a call to a worker. Leases cannot protect against a start call that arrives
// later than the lease margin at a worker that no newer owner has called meanwhile.
const maxCallDelay = 900 * time.Millisecond

func drawWorkerCallFaults(s *site, random *rand.Rand, f *fault) {
	name := s.workerNames[random.IntN(len(s.workerNames))]
	late, duplicate, lose := random.IntN(6), random.IntN(6), random.IntN(6)
	by := time.Duration(random.Int64N(int64(maxCallDelay)))
	f.name = fmt.Sprintf("worker %s: %d late by %v, %d duplicate, %d answers lost", name, late, by, duplicate, lose)
	f.begin = func() {
		s.changeWorkerFaults(name, func(f *standin.WorkerFaults) {
			f.Delayed, f.DelayedBy, f.Duplicate, f.LoseResponses = late, by, duplicate, lose
		})
	}
	f.end = func() {
		s.changeWorkerFaults(name, func(f *standin.WorkerFaults) { f.Delayed, f.Duplicate, f.LoseResponses = 0, 0, 0 })
		s.workers.Deliver()
	}
}

func drawDrain(s *site, random *rand.Rand, f *fault) {
	zone := zoneNames[random.IntN(len(zoneNames))]
	f.name = "drain " + zone
	f.begin = func() {
		if s.operate("drain "+zone, func(v *vm) error {
			return s.setZone(v, zone, siskinv1.ZoneState_ZONE_STATE_DRAINING)
		}) {
			s.history.beginDrain(s, zone)
		}
	}
	f.end = func() {
		s.history.endDrain(s, zone)
		for !s.operate("return "+zone, func(v *vm) error {
			return s.setZone(v, zone, siskinv1.ZoneState_ZONE_STATE_IN_SERVICE)
		}) {
			time.Sleep(time.Second)
		}
	}
}

func drawCeiling(s *site, random *rand.Rand, f *fault) {
	team := teamNames[random.IntN(len(teamNames))]
	lowered := int64(4000 + 1000*random.IntN(6))
	f.name = fmt.Sprintf("ceiling of %s lowered to %d", team, lowered)
	f.lasts += 10 * time.Second
	f.begin = func() { s.changeCeiling(team, lowered) }
	f.end = func() { s.changeCeiling(team, initialCeilings[team]) }
}

// changeCeiling signs off a bundle with a new ceiling. Changes run one at a time.
func (s *site) changeCeiling(team string, cores int64) {
	s.history.bundleChange <- struct{}{}
	defer func() { <-s.history.bundleChange }()
	next := s.history.nextCeilings(s, team, cores)
	s.history.beginCeilingChange(s, next)
	version := s.history.nextVersion(s)
	for {
		done := s.operate(fmt.Sprintf("bundle %d", version), func(v *vm) error {
			return s.putBundle(v.config.WrapStore(v.store.For(storeclient.KindConfig)), s.bundle(version, next))
		})
		if done {
			s.history.endCeilingChange(s, next)
			return
		}
	}
}

// operate makes a change through random VMs until it succeeds, with at most five attempts.
func (s *site) operate(what string, change func(*vm) error) bool {
	const attempts = 5
	for range attempts {
		v := s.live()
		err := change(v)
		s.note("%s: %s: %v", v, what, err)
		if err == nil || strings.Contains(err.Error(), "already in force") {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

func drawPeerFaults(s *site, random *rand.Rand, f *fault) {
	a := s.peers[random.IntN(len(s.peers))].VM
	b := s.peers[random.IntN(len(s.peers))].VM
	delay := time.Duration(random.IntN(800)) * time.Millisecond
	lose, duplicate := random.IntN(5), random.IntN(20)
	f.name = fmt.Sprintf("peers %s to %s: delay %v, %d answers lost, %d duplicate", a, b, delay, lose, duplicate)
	key := [2]string{a, b}
	f.begin = func() {
		s.network.set(func(n *network) { n.delay[key], n.lose[key], n.duplicate[key] = delay, lose, duplicate })
	}
	f.end = func() {
		s.network.set(func(n *network) { n.delay[key], n.lose[key], n.duplicate[key] = 0, 0, 0 })
	}
}
