// Command stage plays a review case: it starts the project's nodes as separate processes between stand-ins of the
// platform, its runners and its clients, and judges what these saw.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	service = "desk"
	host    = "jobs.example"
	prefix  = "/work/"
	key     = "key-of-tenant"
)

// span is the time of a run on a runner.
type span struct {
	task, runner string
	run          int32
	node         int
	begun, ended time.Time
	how          string
}

type stage struct {
	dir          string
	command      []string
	store        *store
	storeAddress []string
	cloudAddress string
	cloud        *cloud
	nodes        []*node
	runners      []*runner
	// links are the proxies from a node to the peers port of another.
	links map[[2]int]*link
	began time.Time
	// closing is true once all processes are to end.
	closing atomic.Bool
	// linked is true if the nodes reach each other through links, which the case can cut.
	linked bool

	mu     sync.Mutex
	file   *os.File
	spans  []*span
	active map[string]*span
	// counts are the runs that began and ended since they were last recorded, if single runs are not.
	counts map[string]int
}

// quiet leaves single runs out of the record.
var quiet bool

func newStage(record string) *stage {
	file, err := os.Create(record)
	if err != nil {
		fatal("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "siskin-stage-")
	if err != nil {
		fatal("folder: %v", err)
	}
	return &stage{
		dir: dir, command: deployCommand(), store: newStore(), links: map[[2]int]*link{}, began: time.Now(), file: file,
		active: map[string]*span{}, counts: map[string]int{},
	}
}

// recordCounts records each second how many runs began and ended.
func (s *stage) recordCounts() {
	for range time.Tick(time.Second) {
		s.mu.Lock()
		if len(s.counts) > 0 {
			s.recordLocked("runs in the last second", "counts", s.counts)
			s.counts = map[string]int{}
		}
		s.mu.Unlock()
	}
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "stage: "+format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

// current is the stage that is being played.
var current *stage

// record writes a line: the time since the begin in milliseconds, the event, and names with values.
func (s *stage) record(event string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLocked(event, values...)
}

func (s *stage) recordLocked(event string, values ...any) {
	line := fmt.Sprintf("%7d %s", time.Since(s.began).Milliseconds(), event)
	for i := 0; i+1 < len(values); i += 2 {
		line += fmt.Sprintf(" %v=%v", values[i], values[i+1])
	}
	_, _ = fmt.Fprintln(s.file, line)
}

func (s *stage) runBegun(r *runner, begun *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := &span{task: begun.task, runner: r.id, run: begun.number, node: begun.node, begun: time.Now()}
	s.spans = append(s.spans, span)
	s.active[r.id+" "+begun.task] = span
	if quiet {
		s.counts["begun"]++
	} else {
		s.recordLocked("run begins", "runner", r.id, "task", begun.task, "run", begun.number, "ordered-by", begun.node)
	}
}

func (s *stage) runEnded(r *runner, ended *run, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if span := s.active[r.id+" "+ended.task]; span != nil {
		span.ended, span.how = time.Now(), how
		delete(s.active, r.id+" "+ended.task)
	}
	if quiet {
		s.counts[how]++
	} else {
		s.recordLocked("run ends", "runner", r.id, "task", ended.task, "run", ended.number, "how", how)
	}
}

// runsOf returns copies of the runs of a job.
func (s *stage) runsOf(job string) []span {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []span
	for _, run := range s.spans {
		if len(run.task) > len(job) && run.task[:len(job)] == job {
			runs = append(runs, *run)
		}
	}
	return runs
}

// activeOf returns the number of active runs of a job.
func (s *stage) activeOf(job string) int {
	n := 0
	for _, run := range s.runsOf(job) {
		if run.ended.IsZero() {
			n++
		}
	}
	return n
}

// place is a runner of the deployment.
type place struct {
	id, zone, kind, rack string
	milliCPU             int64
}

// build starts the stand-ins and the nodes, one in each zone.
func (s *stage) build(zones []string, places []place) {
	views := make([]map[string]string, len(zones))
	for i := range zones {
		views[i] = map[string]string{}
	}
	s.cloud = &cloud{stage: s, ordered: map[string]int64{}, until: map[string]time.Time{}}
	s.cloudAddress = serve(s.cloud.handler())
	for _, p := range places {
		r := &runner{
			stage: s, id: p.id, zone: p.zone, kind: p.kind, rack: p.rack, machine: "m-" + p.id,
			capacity: map[string]int64{"cpu": p.milliCPU, "memMb": 131072, "gpu": 0}, addresses: make([]string, len(zones)),
		}
		s.runners = append(s.runners, r)
		r.start()
		for i, address := range r.addresses {
			views[i][r.addresses[0]] = address
		}
	}
	for i := range zones {
		view := rewriting(views[i])
		s.storeAddress = append(s.storeAddress, serve(s.store.handler(i, func(value []byte) []byte { return view(value) })))
		s.nodes = append(s.nodes, s.newNode(i, zones[i]))
	}
	for _, from := range s.nodes {
		for _, to := range s.nodes {
			if from != to && s.linked {
				l := newLink(to.peers)
				s.links[[2]int{from.index, to.index}] = l
				views[from.index][to.peers] = l.address
			}
		}
	}
	s.configure()
	for _, n := range s.nodes {
		n.start()
	}
	s.await("nodes are ready", 15*time.Second, func() bool {
		for _, n := range s.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

func (s *stage) configure() {
	s.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "work", "host": host, "prefix": prefix, "timeoutMs": 3000, "targetDurationMs": 2500, "priority": 0,
			"service": service, "maxAttempts": 3, "slackFactor": 2.0,
		}},
		"services": []map[string]any{{"name": service, "enforcesCapacity": false}},
		"tenants":  []map[string]any{{"name": "tenant", "apiKeys": []string{key}, "weight": 100, "cap": map[string]int64{"cpu": 0, "memMb": 0, "gpu": 0}}},
		"limits":   map[string]int64{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 60000},
	})
}

func serve(handler http.Handler) string {
	listener := listenOn("")
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// await waits until a condition holds. The case cannot run if it does not.
func (s *stage) await(what string, limit time.Duration, holds func() bool) {
	if !s.holdsWithin(limit, holds) {
		s.record("not reached", "what", what)
		fatal("not reached: %s", what)
	}
	s.record("reached", "what", what)
}

func (s *stage) holdsWithin(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// close ends all processes that the stage started.
func (s *stage) close() {
	s.closing.Store(true)
	for _, n := range s.nodes {
		n.kill()
	}
	for _, n := range s.nodes {
		n.awaitEnd()
	}
	if keep := os.Getenv("STAGE_LOGS"); keep != "" {
		for _, n := range s.nodes {
			if data, err := os.ReadFile(n.settings + ".log"); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}

type step struct {
	Count          int     `json:"count"`
	CPU            int     `json:"cpu"`
	MemMB          int     `json:"memMb"`
	EstimateMs     int     `json:"estimateMs,omitempty"`
	After          []int   `json:"after,omitempty"`
	Checkpointing  bool    `json:"checkpointing,omitempty"`
	Requirements   string  `json:"requirements,omitempty"`
	Affinity       string  `json:"affinity,omitempty"`
	LongRunning    bool    `json:"longRunning,omitempty"`
	TargetMs       float64 `json:"targetMs,omitempty"`
	MaxUnavailable int     `json:"maxUnavailable,omitempty"`
}

// call sends a client's request to a node.
func (s *stage) call(method string, n *node, path string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		fatal("request: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontend+path, bytes.NewReader(data))
	if err != nil {
		fatal("request: %v", err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Siskinstack-Credential", key)
	request.Header.Set("Siskinstack-Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	var answered bytes.Buffer
	_, _ = answered.ReadFrom(response.Body)
	return response.StatusCode, answered.Bytes()
}

// submit hands a job in until it is accepted.
func (s *stage) submit(n *node, id, spec string, steps ...step) {
	for range 5 {
		status, _ := s.call(http.MethodPost, n, prefix+id, map[string]any{"spec": spec, "steps": steps})
		s.record("submit", "job", id, "node", n.name, "status", status)
		if status == http.StatusOK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	fatal("job %s was not accepted", id)
}

// state returns the state of a job as a node shows it.
func (s *stage) state(n *node, id string) string {
	status, body := s.call(http.MethodGet, n, prefix+id, struct{}{})
	var decoded struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &decoded) != nil {
		return strconv.Itoa(status)
	}
	return decoded.State
}

func (s *stage) runner(id string) *runner {
	for _, r := range s.runners {
		if r.id == id {
			return r
		}
	}
	fatal("no runner %s", id)
	return nil
}

// cases returns what a case plays; true means that the rule was broken.
var cases = map[string]func(s *stage, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		os.Exit(2)
	}
	s := newStage(os.Args[2])
	current = s
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { fatal("ended by signal %v", <-signals) }()
	limit := time.AfterFunc(115*time.Second, func() { fatal("the case takes too long") })
	broken := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	limit.Stop()
	s.record("verdict", "broken", broken)
	s.close()
	if broken {
		os.Exit(1)
	}
}
