package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/platform/emulator"
)

const (
	service = "runners"
	host    = "jobs.example"
	key     = "key-of-the-tenant"
	// callTimeout is how long a client waits.
	callTimeout = 3 * time.Second
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex // guards file
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

// queue is a route of the configuration.
type queue struct {
	name        string
	priority    int
	maxAttempts int
}

// site is a small deployment: the platform's store, runners, their machines, and processes of the system.
type site struct {
	record   *record
	fleet    *fleet
	platform *emulator.Platform
	cloud    *cloud
	dir      string
	nodes    []*node
	client   *http.Client
}

type node struct {
	name, zone, frontend, readiness string
	command                         *exec.Cmd
	settings                        string
	log                             *os.File
}

// newSite starts the platform. tasks returns what is known of a task.
func newSite(ctx context.Context, r *record, tasks func(name string) task) (*site, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	p, err := emulator.Start(ctx, emulator.Options{})
	if err != nil {
		return nil, err
	}
	s := &site{record: r, fleet: newFleet(r, tasks), platform: p, dir: dir, client: &http.Client{Timeout: callTimeout}}
	if s.cloud, err = newCloud(s.fleet); err != nil {
		return nil, err
	}
	go s.closeOnSignal()
	go s.fleet.advance(ctx)
	go s.heartbeat(ctx)
	return s, nil
}

// closeOnSignal ends all processes when this one is told to stop.
func (s *site) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	s.close()
	os.Exit(exitFailed)
}

// put writes an item to the store.
func (s *site) put(itemKey string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = s.platform.Store.Commit(context.Background(), infra.Txn{Writes: []infra.Write{{Key: itemKey, Value: data}}})
	return err
}

// configure writes a version of the configuration with one tenant without a ceiling.
func (s *site) configure(version int, queues ...queue) error {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "prefix": "/" + q.name + "/", "kind": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": 1200, "priority": q.priority, "service": service, "maxAttempts": q.maxAttempts, "slackFactor": 2.2,
			"public": false,
		})
	}
	return s.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 64, "enforcesCapacity": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": "tenant", "apiKeys": []string{key}, "priority": 1, "weight": 10, "cap": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0},
		}},
	})
}

// heartbeat writes the entries of the runners: at once when one is new, and about every 1.5 s. That of a runner that is down is
// removed after three intervals.
func (s *site) heartbeat(ctx context.Context) {
	const interval, silence = 1500 * time.Millisecond, 4500 * time.Millisecond
	type known struct {
		id      string
		written time.Time
	}
	entries := map[*runner]known{}
	gone := map[string]time.Time{}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		time.Sleep(tick)
		s.fleet.mu.Lock()
		runners := append([]*runner(nil), s.fleet.runners...)
		s.fleet.mu.Unlock()
		for _, r := range runners {
			s.fleet.mu.Lock()
			id, down, entry := r.id, r.down, r.entry(sequence)
			s.fleet.mu.Unlock()
			before := entries[r]
			if !down && (before.id != id || time.Since(before.written) > interval) {
				if before.id != id && before.id != "" {
					gone[before.id] = before.written.Add(silence)
				}
				_ = s.put("servers/"+id, entry)
				entries[r] = known{id, time.Now()}
			}
			if down && before.id != "" && time.Since(before.written) > silence {
				gone[before.id] = time.Now()
				entries[r] = known{}
			}
		}
		for id, at := range gone {
			if time.Now().After(at) {
				_, _ = s.platform.Store.Commit(ctx, infra.Txn{Removes: []string{"servers/" + id}})
				delete(gone, id)
			}
		}
	}
}

// entry returns the runner's entry. The caller holds the fleet's mu.
func (r *runner) entry(sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int64{"cpu": r.cpu, "memMb": 131072, "gpu": 0}, "labels": r.labels, "born": r.current.born,
		"clockMs": r.current.clockMs(), "sequence": sequence,
	}
}

// freePort returns a free port of the loopback address below those of outgoing connections.
func freePort() (int, error) {
	const first, ports, attempts = 20000, 12000, 20
	var err error
	for range attempts {
		port := first + rand.IntN(ports)
		var listener net.Listener
		if listener, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return port, listener.Close()
		}
	}
	return 0, err
}

// addNode writes the settings of a machine and starts its process.
func (s *site) addNode(name, zone, store string) (*node, error) {
	ports := make([]any, 3)
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	n := &node{
		name: name, zone: zone, frontend: fmt.Sprintf("127.0.0.1:%d", ports[0]), readiness: fmt.Sprintf("127.0.0.1:%d", ports[1]),
		settings: filepath.Join(s.dir, name+".toml"),
	}
	text := fmt.Sprintf(settingsText, name, zone, ports[2], ports[2], n.frontend, n.readiness, store, s.cloud.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if n.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, n)
	return n, n.start()
}

const settingsText = `nodeName = %q
role = "siskind"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "region"
internalPorts = [%d, %d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "call"
[listen]
frontend = %q
readiness = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableWindowMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
evacuateMs = 5000
recoverS = 12
holdMaxMs = 6000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseMs = 3000
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloud]
address = %q
ratePerS = 60.0
dutyPerS = 60.0
`

func (n *node) start() error {
	n.command = exec.Command("target/siskind", "node")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINSTACK_NODE_FILE=" + n.settings}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	return n.command.Start()
}

// kill ends the process at once.
func (n *node) kill() {
	_ = n.command.Process.Signal(syscall.SIGKILL)
	_ = n.command.Wait()
}

// ready waits until all machines report themselves ready.
func (s *site) ready(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, n := range s.nodes {
		for {
			resp, err := s.client.Get("http://" + n.readiness + "/siskinstack/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, n := range s.nodes {
		if n.command != nil && n.command.ProcessState == nil {
			n.kill()
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
	s.platform.Close()
}

// call sends a request of a client to a machine and returns the status and the body; status 0 means no answer.
func (s *site) call(n *node, method, path string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, ""
		}
		reader = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontend+path, reader)
	if err != nil {
		return 0, ""
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Siskinstack-Credential", key)
	q.Header.Set("Siskinstack-Deadline-Ms", "3000")
	resp, err := s.client.Do(q)
	if err != nil {
		s.record.line("client: %s %s at %s: no answer: %v", method, path, n.name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	text := strings.TrimSpace(string(data))
	s.record.line("client: %s %s at %s: %d %s", method, path, n.name, resp.StatusCode, text)
	return resp.StatusCode, text
}

// state returns the state of a job, or "" if none was given.
func (s *site) state(n *node, path string) string {
	status, text := s.call(n, http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return ""
	}
	return body.State
}
