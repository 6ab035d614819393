package rig

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names of the deployment.
const (
	Service = "order-desk"
	Host    = "desk.example"
	Key     = "key-of-lab"
	Tenant  = "lab"
)

// Event is something that a runner saw.
type Event struct {
	At     time.Duration
	Kind   string // start, end, noted, gone or lapse
	Runner string
	Task   string
	Run    int64
	How    string
	Fence  int64
}

// Site is a deployment on loopback.
type Site struct {
	Store   *Store
	Runners []*Runner
	Nodes   []*Node
	// WorkOf returns what a run does.
	WorkOf func(task string, run int64) Work
	// GangOf returns the number of members of a task's gang, 0 if it has none.
	GangOf func(task string) int
	// MachinesAddress is where the list of machines is served, AdvisorAddress where nothing is found: no queue has an advisor.
	MachinesAddress, AdvisorAddress string

	dir     string
	began   time.Time
	ended   atomic.Bool
	servers []*http.Server

	mu     sync.Mutex // guards the fields below
	events []Event
	record []string
	gangs  map[string]*gang
}

// NewSite serves the platform of a deployment.
func NewSite() (*Site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &Site{began: time.Now(), dir: dir, gangs: map[string]*gang{}, GangOf: func(string) int { return 0 }, WorkOf: func(string, int64) Work { return Work{Lasts: time.Second, How: "done"} }}
	if s.Store, err = StartStore(s); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /siskinstack/machines", s.machines)
	if s.MachinesAddress, err = s.serve("127.0.0.1:0", mux); err != nil {
		return nil, err
	}
	s.AdvisorAddress, err = s.serve("127.0.0.1:0", http.NotFoundHandler())
	return s, err
}

func (s *Site) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *Site) running() bool { return !s.ended.Load() }

// Close ends all processes and services.
func (s *Site) Close() {
	s.ended.Store(true)
	for _, n := range s.Nodes {
		n.Kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, r := range s.Runners {
		_ = r.server.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// Now returns the time since the site began.
func (s *Site) Now() time.Duration { return time.Since(s.began) }

// Record adds a line to the record.
func (s *Site) Record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", s.Now().Seconds()) + fmt.Sprintf(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = append(s.record, line)
}

// WriteRecord writes the record to a file.
func (s *Site) WriteRecord(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(s.record, "\n")+"\n"), 0o644)
}

func (s *Site) event(e Event) {
	e.At = s.Now()
	line := fmt.Sprintf("%8.3f s  runner %s: %s %s run %d", e.At.Seconds(), e.Runner, e.Kind, e.Task, e.Run)
	if e.How != "" {
		line += " " + e.How
	}
	if e.Fence != 0 {
		line += " (fencing token " + strconv.FormatInt(e.Fence, 10) + ")"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
	s.record = append(s.record, line)
}

// Events returns what the runners have seen.
func (s *Site) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.events...)
}

// Count returns the number of events of a kind whose task belongs to a job; all jobs if job is "".
func (s *Site) Count(kind, job string) int {
	n := 0
	for _, e := range s.Events() {
		if e.Kind == kind && strings.HasPrefix(e.Task, job) {
			n++
		}
	}
	return n
}

// Configure writes a version of the configuration with one queue, one service and one tenant.
func (s *Site) Configure(version int64, maxAttempts int) {
	s.Store.Put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "previews", "host": Host, "prefix": "/previews/", "timeoutMs": 3000, "targetDurationMs": 2500, "priority": 0,
			"service": Service, "maxAttempts": maxAttempts, "slackFactor": 2,
		}},
		"services": []map[string]any{{"name": Service, "enforcesCapacity": false}},
		"tenants":  []map[string]any{{"name": Tenant, "apiKeys": []string{Key}, "weight": 100, "cap": map[string]int64{"cpu": 768_000, "memMb": 1_572_864}}},
		"limits":   map[string]int64{"maxBodyBytes": 262144, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 60000},
	})
}

// ErrNotReady means that the site does not serve.
var ErrNotReady = errors.New("the deployment is not ready")

// AwaitReady waits until all nodes report ready and one of them answers a count, which needs a controller.
func (s *Site) AwaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, n := range s.Nodes {
			ready = ready && n.ready()
		}
		if ready && s.Leader() != nil {
			if _, status := s.Client(s.Nodes[0]).Pending(); status == http.StatusOK {
				return nil
			}
		}
	}
	return ErrNotReady
}

// Await waits until a condition holds.
func (s *Site) Await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// path returns the path of a file in the site's folder.
func (s *Site) path(name string) string { return filepath.Join(s.dir, name) }

// get fetches a URL and returns the status.
func get(url string, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, nil
}
