package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the settings of DEPLOY.md.
const (
	holdMax  = 6 * time.Second
	stopTime = 100 * time.Millisecond
	// startup is the time until a task that lasts is at work.
	startup    = 500 * time.Millisecond
	checkpoint = time.Second
	tick       = 10 * time.Millisecond
	// silence is three ping intervals, after which the store removes a runner's entry.
	silence = 4500 * time.Millisecond
)

// run is a run of a task on a runner.
type run struct {
	task, spec string
	number     int32
	begun      time.Time
	stopAt     time.Time
	// node is the node that ordered the start.
	node int
}

// takes returns the work of a run, from its spec "work MS" or "serve".
func (r *run) takes() (work time.Duration, lasts bool) {
	ms, ok := strings.CutPrefix(r.spec, "work ")
	if !ok {
		return startup, true
	}
	n, err := strconv.Atoi(ms)
	if err != nil {
		panic(err)
	}
	return time.Duration(n) * time.Millisecond, false
}

func (r *run) percent() int {
	work, _ := r.takes()
	return int(min(100, 100*time.Since(r.begun)/work))
}

func (r *run) saved() string {
	n := int64(time.Since(r.begun) / checkpoint)
	if n == 0 {
		return ""
	}
	text := "0000000000000000" + strconv.FormatInt(n, 16)
	return text[len(text)-16:]
}

// runner is a stand-in for a runner, which may live several times.
type runner struct {
	stage    *stage
	id, zone string
	machine  string
	capacity map[string]int64

	mu         sync.Mutex
	kind, rack string
	up         bool
	born       time.Time
	fence      int64
	leaseUntil int64
	runs       map[string]*run
	// highest is the highest run of a task that was stopped or ended, or may not start any more.
	highest map[string]int32
	ended   [][]any
	nextEnd int64
	changed chan struct{}
	// addresses are the addresses for each node.
	addresses []string
	servers   []*http.Server
	life      int
}

// clock returns the runner's steady clock in milliseconds. The caller holds mu.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// start begins a life of the runner.
func (r *runner) start() {
	r.mu.Lock()
	r.up, r.born, r.fence, r.leaseUntil = true, time.Now(), 0, 0
	r.runs, r.highest, r.ended, r.nextEnd = map[string]*run{}, map[string]int32{}, nil, 1
	r.changed = make(chan struct{})
	r.life++
	life := r.life
	r.mu.Unlock()
	for node := range r.addresses {
		r.listen(node)
	}
	r.register()
	go func() {
		for range time.Tick(tick) {
			if !r.advance(life) {
				return
			}
		}
	}()
}

func (r *runner) listen(node int) {
	listener := listenOn(r.addresses[node])
	r.addresses[node] = listener.Addr().String()
	server := &http.Server{Handler: r.handler(node), ReadHeaderTimeout: 5 * time.Second}
	r.mu.Lock()
	for len(r.servers) <= node {
		r.servers = append(r.servers, nil)
	}
	r.servers[node] = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// unlisten closes the runner's port for a node and resets its connections.
func (r *runner) unlisten(node int) {
	r.mu.Lock()
	server := r.servers[node]
	r.mu.Unlock()
	_ = server.Close()
}

// register writes the runner's entry.
func (r *runner) register() {
	r.mu.Lock()
	entry := map[string]any{
		"service": service, "address": r.addresses[0], "zone": r.zone, "version": "1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "labels": []string{r.kind, r.rack}, "capacity": r.capacity,
		"born": r.born.UnixMilli(),
	}
	r.mu.Unlock()
	r.stage.store.put("servers/"+r.id, entry)
}

// crash ends the runner's life with all that it runs.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	life := r.life
	for _, run := range r.runs {
		r.stage.runEnded(r, run, "lost")
	}
	r.runs = map[string]*run{}
	r.mu.Unlock()
	for node := range r.addresses {
		r.unlisten(node)
	}
	r.stage.record("crash", "runner", r.id)
	time.AfterFunc(silence, func() {
		r.mu.Lock()
		gone := !r.up && r.life == life
		r.mu.Unlock()
		if gone {
			r.stage.store.remove("servers/" + r.id)
		}
	})
}

// advance ends runs whose time has come. It returns false once the life has ended.
func (r *runner) advance(life int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.life != life {
		return false
	}
	lapsed := r.clock() > r.leaseUntil
	for _, run := range r.runs {
		work, lasts := run.takes()
		switch {
		case lapsed:
			r.end(run, "lapsed")
		case !run.stopAt.IsZero() && time.Now().After(run.stopAt):
			r.end(run, "stopped")
		case !lasts && time.Since(run.begun) >= work:
			r.end(run, "done")
		}
	}
	return true
}

// end ends a run. The caller holds mu.
func (r *runner) end(run *run, how string) {
	delete(r.runs, run.task)
	r.highest[run.task] = max(r.highest[run.task], run.number)
	r.ended = append(r.ended, []any{r.nextEnd, run.task, run.number, how, run.saved()})
	r.nextEnd++
	r.stage.runEnded(r, run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	Run          int32  `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

func (r *runner) handler(node int) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, call func(node int, o order) (int, map[string]any)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, request *http.Request) {
			var o order
			if request.Header.Get("Siskinstack-Expect-Instance") != r.id {
				answer(w, http.StatusMisdirectedRequest, struct{}{})
				return
			}
			if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
				answer(w, http.StatusBadRequest, struct{}{})
				return
			}
			status, body := call(node, o)
			answer(w, status, body)
		})
	}
	handle("/siskinstack/run-start", r.serveStart)
	handle("/siskinstack/run-stop", r.serveStop)
	handle("/siskinstack/hold", r.serveHold)
	return mux
}

func (r *runner) declined(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli(), "reason": reason}
}

// accept checks the fence and extends the lease. The caller holds mu.
func (r *runner) accept(node int, o order) bool {
	if o.FencingToken < r.fence {
		return false
	}
	if o.FencingToken > r.fence {
		r.stage.record("fence", "runner", r.id, "node", node, "token", o.FencingToken)
	}
	r.fence = o.FencingToken
	r.leaseUntil = max(r.leaseUntil, min(o.UntilMs, r.clock()+holdMax.Milliseconds()))
	return true
}

func (r *runner) serveStart(node int, o order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := o.UntilMs <= r.clock()
	if !r.accept(node, o) {
		return r.declined("fence")
	}
	known := r.runs[o.Task]
	switch {
	case known != nil && known.number == o.Run:
	case o.Run <= r.highest[o.Task] || known != nil:
		return r.declined("old")
	case late:
		return r.declined("late")
	default:
		started := &run{task: o.Task, spec: o.Spec, number: o.Run, begun: time.Now(), node: node}
		r.runs[o.Task] = started
		r.stage.runBegun(r, started)
	}
	return http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli()}
}

func (r *runner) serveStop(node int, o order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(node, o) {
		return r.declined("fence")
	}
	if run := r.runs[o.Task]; run != nil && run.number == o.Run {
		if run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
		}
	} else {
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	}
	return http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli()}
}

func (r *runner) serveHold(node int, o order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(node, o) {
		return r.declined("fence")
	}
	r.ended = slices.DeleteFunc(r.ended, func(end []any) bool { return end[0].(int64) <= o.AckCursor })
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(r.ended) == 0 && time.Now().Before(deadline) {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		}
		r.mu.Lock()
	}
	active, ended := [][]any{}, [][]any{}
	for _, run := range r.runs {
		active = append(active, []any{run.task, run.number, run.saved(), run.percent(), 0})
	}
	ended = append(ended, r.ended[:min(len(r.ended), 500)]...)
	return http.StatusOK, map[string]any{
		"clockMs": r.clock(), "born": r.born.UnixMilli(), "active": active, "finished": ended,
	}
}

// nextPort is the next port for a stand-in. The ports are below those that the kernel assigns to outgoing connections, so
// that a stand-in that was down gets its port back.
var nextPort = 10_000 + os.Getpid()*53%9_000

// listenOn listens on an address, on a free port if it is "".
func listenOn(address string) net.Listener {
	var listener net.Listener
	var err error
	for range 400 {
		on := address
		if on == "" {
			on = "127.0.0.1:" + strconv.Itoa(nextPort)
			nextPort++
		}
		if listener, err = net.Listen("tcp4", on); err == nil {
			return listener
		}
		if address != "" {
			time.Sleep(10 * time.Millisecond)
		}
	}
	fatal("listen on %q: %v", address, err)
	return nil
}
