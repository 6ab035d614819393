package soak

import (
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/platform/emulator"
)

// stopLimit is how long a planned stop may take: the grace period, plus one second for a busy host.
const stopLimit = emulator.Grace + time.Second

// machine is one process of the product. Signals go only through its own process handle.
type machine struct {
	name     string
	zone     string
	binary   string
	settings string
	frontend string
	peers    string
	store    *proxy
	links    *links

	mu      sync.Mutex // guards process and ended
	process *os.Process
	ended   chan struct{}
}

const (
	// firstPort and endPort bound the machines' ports. They are below the ports that the kernel assigns to other
	// listeners, so that none of those takes a port before its machine listens.
	firstPort = 26_000
	endPort   = 32_000
	// portStride separates the ports of concurrent soak processes; it is more than 30 runs of one process use.
	portStride = 311
)

// nextPort counts the assigned ports, from a start that depends on the process ID.
var nextPort = func() *atomic.Int32 {
	var n atomic.Int32
	n.Store(int32(os.Getpid() * portStride % (endPort - firstPort)))
	return &n
}()

// freePort returns a port on which nothing listens and that no other run of this process is assigned.
func freePort(ctx context.Context) (int, error) {
	for range endPort - firstPort {
		port := firstPort + int(nextPort.Add(1)-1)%(endPort-firstPort)
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			return port, eris.Wrap(listener.Close(), "free port")
		}
	}
	return 0, errors.New("no free port")
}

// newMachine writes a machine's settings and starts its proxy to the store.
func newMachine(ctx context.Context, binary, dir, name, zone string, heavyLoad bool, p *emulator.Platform) (*machine, error) {
	l := &links{byTarget: map[string]*link{}}
	view, err := p.ServeStore(ctx, l.view)
	if err != nil {
		return nil, err
	}
	store, err := newProxy(ctx, view)
	if err != nil {
		return nil, err
	}
	var ports [3]int
	for i := range ports {
		if ports[i], err = freePort(ctx); err != nil {
			return nil, err
		}
	}
	at := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	m := &machine{
		name: name, zone: zone, binary: binary, settings: filepath.Join(dir, name+".toml"), frontend: at(ports[0]),
		peers: at(ports[2]), store: store, links: l,
	}
	text := emulator.Settings(emulator.Machine{
		Name: name, Zone: zone, Frontend: m.frontend, Readiness: at(ports[1]), PeerPort: ports[2],
		Store: store.address(), Advisor: p.AdvisorAddress, Machines: p.MachinesAddress, HeavyLoad: heavyLoad,
	})
	const ownerOnly = 0o600
	return m, eris.Wrap(os.WriteFile(m.settings, []byte(text), ownerOnly), "settings")
}

// start starts the process. Its log goes to a file next to the settings.
func (m *machine) start() error {
	const ownerOnly = 0o600
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, ownerOnly)
	if err != nil {
		return eris.Wrap(err, "log")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(m.binary, "node")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+m.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", m.name)
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = command.Process, ended
	m.mu.Unlock()
	go func() {
		_ = command.Wait() // the exit status of a killed or stopped process does not matter
		close(ended)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Signalling a process that has already ended fails, which is fine.
	_ = m.process.Signal(s)
}

// done returns a channel that is closed when the current process ends. Another fault may then start the next process.
func (m *machine) done() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// waitEnded waits for the end of a process.
func (m *machine) waitEnded(ended <-chan struct{}, limit time.Duration) error {
	select {
	case <-ended:
		return nil
	case <-time.After(limit):
		return errors.New(m.name + " has not ended after " + limit.String())
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() error {
	ended := m.done()
	m.signal(syscall.SIGKILL)
	return m.waitEnded(ended, stopLimit)
}

// running reports whether the process was started and has not ended.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return false
	default:
		return m.process != nil
	}
}
