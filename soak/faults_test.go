package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/platform/emulator"
	"siskinstack.example/siskinstack/standin"
)

// Fault is one fault of a run.
type Fault struct {
	At   time.Duration `json:"at_ns"`
	For  time.Duration `json:"for_ns"`
	Kind string        `json:"kind"`
	// Target selects the machine, worker or zone; kinds that affect all ignore it.
	Target int `json:"target"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %s %d for %s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.For.Round(time.Millisecond))
}

// faultKinds maps each kind of fault to the function that begins it; the returned function ends it.
var faultKinds = map[string]func(r *run, f Fault) (heal func() error, err error){
	"kill machine":           killMachine,
	"kill all machines":      killAll,
	"pause machine":          pauseMachine,
	"stop machine":           stopMachine,
	"reload machine":         reloadMachine,
	"store delayed":          storeProxyFault(modeDelay),
	"store reset":            storeProxyFault(modeReset),
	"store silent":           storeProxyFault(modeSilent),
	"store one way":          storeProxyFault(modeOneWay),
	"store silent for all":   storeSilentForAll,
	"store refuses":          storeFault(func(int) standin.TxnFault { return standin.TxnRefuse }),
	"store loses answers":    storeFault(everyThird(standin.TxnLoseResponse)),
	"store drops calls":      storeFault(everyThird(standin.TxnDrop)),
	"store carries out late": storeFault(everyThird(standin.TxnDelay)),
	"worker silent":          workerProxyFault(modeSilent),
	"worker reset":           workerProxyFault(modeReset),
	"worker one way":         workerProxyFault(modeOneWay),
	"worker restarts":        restartWorker,
	"worker fails":           failWorker,
	"key revoked":            revokeKey,
	"zone evacuated":         evacuateZone,
	crashingTasks:            submitCrashingTasks,
	zoneRefuses:              cutZone,
	workerShrinks:            shrinkWorker,
	silentRestarts:           restartSilently,
}

// Kinds of faults that are drawn after all others, so that the faults of a recorded seed stay the same.
const (
	crashingTasks = "tasks crash workers"
	workerShrinks = "worker shrinks"
	zoneRefuses   = "zone refuses connections"
	// silentRestarts is drawn last.
	silentRestarts = "workers restart silently"
)

// kindNames lists the kinds in a fixed order, so that a seed draws the same faults in every run. Repeated kinds are more
// likely.
var kindNames = []string{
	"kill machine", "kill machine", "pause machine", "pause machine", "stop machine", "reload machine", "kill all machines",
	"store delayed", "store reset", "store silent", "store one way", "store silent for all", "store refuses",
	"store loses answers", "store drops calls", "store carries out late", "worker silent", "worker reset",
	"worker one way", "worker restarts", "worker fails", "key revoked", "zone evacuated",
}

const (
	// longestFault exceeds the machines' leases and all call timeouts; pauses and outages of that length occur.
	longestFault  = 5 * time.Second
	shortestFault = 200 * time.Millisecond
	// workerStart is how long a worker takes to start. Package controller relies on more than 0.1 s; see maxAnswerAge there.
	workerStart = 300 * time.Millisecond
	// restartDelay is the time between the end of a stopped machine and its restart.
	restartDelay = 500 * time.Millisecond
)

// drawFaults draws the faults of a run from its seed. They follow one another and overlap.
func drawFaults(random *rand.Rand, options Options) []Fault {
	var faults []Fault
	for range options.Faults {
		f := Fault{
			At:   time.Duration(random.Int64N(int64(options.Length))),
			For:  shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
			Kind: kindNames[random.IntN(len(kindNames))],
		}
		f.Target = random.IntN(options.Machines * workersPerMachine)
		faults = append(faults, f)
	}
	later := rand.New(rand.NewPCG(options.Seed, laterKinds))
	kinds := append([]string{crashingTasks, workerShrinks, workerShrinks, zoneRefuses, zoneRefuses},
		slices.Repeat([]string{silentRestarts}, options.SilentRestarts)...)
	if options.Faults == 0 {
		kinds = kinds[len(kinds)-options.SilentRestarts:]
	}
	for _, kind := range kinds {
		faults = append(faults, Fault{
			At:   time.Duration(later.Int64N(int64(options.Length))),
			For:  shortestFault + time.Duration(later.Int64N(int64(longestFault-shortestFault))),
			Kind: kind, Target: later.IntN(options.Machines * workersPerMachine),
		})
	}
	return faults
}

// laterKinds is the stream of a seed from which the kinds are drawn that do not belong to kindNames.
const laterKinds = 3

// submitCrashingTasks makes the first task of some of the jobs that are submitted meanwhile crash its workers.
func submitCrashingTasks(r *run, _ Fault) (func() error, error) {
	r.jobs.crashing.Store(true)
	return func() error {
		r.jobs.crashing.Store(false)
		return nil
	}, nil
}

// shrinkWorker halves the capacity of a worker. Tasks that run there go on.
func shrinkWorker(r *run, f Fault) (func() error, error) {
	worker := r.workerOf(f)
	half := workerCapacity
	half.MilliCPU /= 2
	return func() error { return r.platform.Resize(context.Background(), worker, workerCapacity) },
		r.platform.Resize(context.Background(), worker, half)
}

func (r *run) machineOf(f Fault) *machine { return r.machines[f.Target%len(r.machines)] }

func (r *run) workerOf(f Fault) int { return f.Target % len(r.platform.Workers) }

// restart starts a machine unless another fault has already restarted it.
func (r *run) restart(m *machine) error {
	r.restarts.Lock()
	defer r.restarts.Unlock()
	if m.running() {
		return nil
	}
	return m.start()
}

func killMachine(r *run, f Fault) (func() error, error) {
	m := r.machineOf(f)
	return func() error { return r.restart(m) }, m.kill()
}

func killAll(r *run, _ Fault) (func() error, error) {
	for _, m := range r.machines {
		if err := m.kill(); err != nil {
			return nil, err
		}
	}
	return func() error {
		for _, m := range r.machines {
			if err := r.restart(m); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func pauseMachine(r *run, f Fault) (func() error, error) {
	m := r.machineOf(f)
	m.signal(syscall.SIGSTOP)
	return func() error {
		m.signal(syscall.SIGCONT)
		return nil
	}, nil
}

// stopMachine performs a planned stop of a machine and starts it again. A paused machine ends after it is resumed.
func stopMachine(r *run, f Fault) (func() error, error) {
	m := r.machineOf(f)
	ended := m.done()
	m.signal(syscall.SIGTERM)
	return func() error {
		if err := m.waitEnded(ended, stopLimit+longestFault); err != nil {
			return err
		}
		time.Sleep(restartDelay)
		return r.restart(m)
	}, nil
}

func reloadMachine(r *run, f Fault) (func() error, error) {
	r.machineOf(f).signal(syscall.SIGHUP)
	return func() error { return nil }, nil
}

func storeProxyFault(m mode) func(*run, Fault) (func() error, error) {
	return func(r *run, f Fault) (func() error, error) { return setProxies(m, r.machineOf(f).store), nil }
}

func storeSilentForAll(r *run, _ Fault) (func() error, error) {
	var proxies []*proxy
	for _, m := range r.machines {
		proxies = append(proxies, m.store)
	}
	return setProxies(modeSilent, proxies...), nil
}

func workerProxyFault(m mode) func(*run, Fault) (func() error, error) {
	return func(r *run, f Fault) (func() error, error) { return setProxies(m, r.workers[r.workerOf(f)]), nil }
}

func setProxies(m mode, proxies ...*proxy) func() error {
	for _, p := range proxies {
		p.set(m)
	}
	return func() error {
		for _, p := range proxies {
			p.set(modeForward)
		}
		return nil
	}
}

// everyThird applies a fault to every third call.
func everyThird(fault standin.TxnFault) func(int) standin.TxnFault {
	const third = 3
	return func(n int) standin.TxnFault {
		if n%third == 0 {
			return fault
		}
		return 0
	}
}

// storeFault applies faults to the machines' calls to the store, but not to those of operators and workers.
func storeFault(choose func(n int) standin.TxnFault) func(*run, Fault) (func() error, error) {
	return func(r *run, _ Fault) (func() error, error) {
		n := 0
		r.platform.Store.SetFault(func(_ string, txn infra.Txn) standin.TxnFault {
			if isOperatorTxn(txn) {
				return 0
			}
			n++
			return choose(n)
		})
		return func() error {
			r.platform.Store.SetFault(nil)
			r.platform.Store.Deliver()
			return nil
		}, nil
	}
}

// isOperatorTxn reports whether a transaction was sent by operators or workers.
func isOperatorTxn(txn infra.Txn) bool {
	for _, w := range txn.Writes {
		if isOperatorKey(w.Key) {
			return true
		}
	}
	return slices.ContainsFunc(txn.Removes, isOperatorKey)
}

// restartWorker restarts a worker with a new incarnation. Its connections break, as when a process ends, and it answers
// again after workerStart.
func restartWorker(r *run, f Fault) (func() error, error) {
	worker := r.workerOf(f)
	r.workers[worker].set(modeReset)
	err := r.platform.RestartWorker(context.Background(), worker)
	time.Sleep(workerStart)
	r.workers[worker].set(modeForward)
	return func() error { return nil }, err
}

func failWorker(r *run, f Fault) (func() error, error) {
	id := r.platform.Workers[r.workerOf(f)].ID
	r.mayFail.Store(true)
	r.platform.Fleet.SetFailing(id, true)
	return func() error {
		r.platform.Fleet.SetFailing(id, false)
		return nil
	}, nil
}

func revokeKey(r *run, _ Fault) (func() error, error) {
	if err := r.configure(false); err != nil {
		return nil, err
	}
	return func() error { return r.configure(true) }, nil
}

func evacuateZone(r *run, f Fault) (func() error, error) {
	zone := zones[f.Target%len(zones)]
	return func() error { return r.platform.Evacuate(context.Background(), zone, false) },
		r.platform.Evacuate(context.Background(), zone, true)
}

// keyState says whether the second key of the team is in the configuration, and since when.
type keyState struct {
	valid bool
	since time.Time
}

// configure writes the next version of the configuration, with or without the second key.
func (r *run) configure(withKey bool) error {
	r.config.Lock()
	defer r.config.Unlock()
	r.version++
	keys := []string{goodKey}
	if withKey {
		keys = append(keys, secondKey)
	}
	err := r.platform.Configure(context.Background(), r.version, []emulator.Team{{Name: team, Keys: keys, Ceiling: ceiling}})
	r.key = keyState{valid: withKey, since: time.Now()}
	return err
}

// mustRefuse reports whether the second key was revoked longer ago than the bound.
func (r *run) mustRefuse(now time.Time) bool {
	r.config.Lock()
	defer r.config.Unlock()
	return !r.key.valid && now.Sub(r.key.since) > emulator.Revocation
}
