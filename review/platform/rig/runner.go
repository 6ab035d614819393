package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which a runner writes its entry. The store removes one that has been silent for
	// silentBeats of them.
	heartbeat   = 1500 * time.Millisecond
	silentBeats = 3
	// holdMax is the longest lease that a runner grants.
	holdMax = 6 * time.Second
	// stopTime is how long a run takes to stop, startupTime how long a task that lasts takes until it is at work.
	stopTime    = 50 * time.Millisecond
	startupTime = 300 * time.Millisecond
	// listedEnds is the number of ends in one answer.
	listedEnds = 500
	// tick is the interval at which a runner checks its runs.
	tick = 5 * time.Millisecond
)

// Work is what a run does unless it is stopped: it ends with How after Lasts, or never if Lasts is 0.
type Work struct {
	Lasts time.Duration
	How   string
}

// Runner is a runner of a service. It starts whatever it is told to start.
type Runner struct {
	ID, Machine, Zone string
	Labels            []string
	CPU, MemMB        int64
	Address           string

	site *Site

	mu     sync.Mutex // guards the fields below
	up     bool
	server *http.Server
	life   *life
	beats  int64
}

// life is one lifetime of a runner. It knows nothing of earlier ones.
type life struct {
	born    time.Time
	fence   int64
	until   int64
	active  map[string]*run
	stopped map[string]int64
	ends    []end
	number  int64
	changed chan struct{}
	// lapsed is true from the end of the lease until the next extension.
	lapsed bool
}

type run struct {
	task     string
	run      int64
	started  time.Time
	work     Work
	stopping time.Time
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// AddRunner starts a runner.
func (s *Site) AddRunner(id, zone string, labels []string, cpu, memMB int64) (*Runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Machine: "m-" + id, Zone: zone, Labels: labels, CPU: cpu, MemMB: memMB, Address: listener.Addr().String(), site: s}
	r.begin(listener)
	s.Runners = append(s.Runners, r)
	go r.beat()
	return r, nil
}

// begin starts a lifetime.
func (r *Runner) begin(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /siskinstack/run-start", r.order(r.start))
	mux.HandleFunc("POST /siskinstack/run-stop", r.order(r.stop))
	mux.HandleFunc("POST /siskinstack/hold", r.hold)
	mux.HandleFunc("POST /siskinstack/pace", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]int64{"clockMs": 1})
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.mu.Lock()
	r.up = true
	r.life = &life{born: time.Now(), active: map[string]*run{}, stopped: map[string]int64{}, changed: make(chan struct{})}
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	server, current := r.server, r.life
	r.mu.Unlock()
	r.site.Record("runner %s begins a lifetime, born %d", r.ID, current.born.UnixMilli())
	r.publish()
	go func() { _ = server.Serve(listener) }()
	go r.work(current)
}

// publish writes the runner's entry.
func (r *Runner) publish() {
	r.mu.Lock()
	r.beats++
	entry := map[string]any{
		"service": Service, "address": r.Address, "zone": r.Zone, "version": "1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": r.beats, "labels": r.Labels, "born": r.life.born.UnixMilli(),
		"capacity": map[string]int64{"cpu": r.CPU, "memMb": r.MemMB, "gpu": 0},
	}
	r.mu.Unlock()
	r.site.Store.Put("servers/"+r.ID, entry)
}

func (r *Runner) beat() {
	silent := 0
	for r.site.running() {
		time.Sleep(heartbeat)
		if r.IsUp() {
			silent = 0
			r.publish()
			continue
		}
		if silent++; silent == silentBeats {
			r.site.Store.Remove("servers/" + r.ID)
		}
	}
}

// IsUp reports whether the runner's process runs.
func (r *Runner) IsUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up
}

// Crash ends the runner's process and all that runs on it. It closes its channels.
func (r *Runner) Crash() {
	r.mu.Lock()
	r.up = false
	server := r.server
	for _, active := range r.life.active {
		r.site.event(Event{Kind: "gone", Runner: r.ID, Task: active.task, Run: active.run, How: "crash"})
		r.site.leave(active.task, active.run, "crash")
	}
	r.life.active = map[string]*run{}
	r.mu.Unlock()
	r.site.Record("runner %s crashes", r.ID)
	_ = server.Close()
}

// Restart starts the runner again, under the same identifier and at the same address.
func (r *Runner) Restart() error {
	listener, err := net.Listen("tcp4", r.Address)
	if err != nil {
		return err
	}
	r.begin(listener)
	return nil
}

// Active returns the tasks that run.
func (r *Runner) Active() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tasks []string
	for task := range r.life.active {
		tasks = append(tasks, task)
	}
	return tasks
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1 }

// extend extends the lease of all that runs.
func (l *life) extend(until int64) {
	l.until = max(l.until, min(until, l.clock()+holdMax.Milliseconds()))
	l.lapsed = l.lapsed && l.clock() > l.until
}

type orderBody struct {
	Task      string `json:"task"`
	Run       int64  `json:"run"`
	Spec      string `json:"spec"`
	UntilMs   int64  `json:"untilMs"`
	Fence     int64  `json:"fencingToken"`
	AckCursor int64  `json:"ackCursor"`
	WaitMs    int64  `json:"waitMs"`
}

// receive decodes an order. It returns false if the order was refused.
func (r *Runner) receive(w http.ResponseWriter, request *http.Request) (orderBody, bool) {
	var body orderBody
	if request.Header.Get("Siskinstack-Expect-Instance") != r.ID {
		reply(w, http.StatusMisdirectedRequest, struct{}{})
		return body, false
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return body, false
	}
	return body, true
}

// order handles a start or a stop.
func (r *Runner) order(perform func(l *life, body orderBody) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		body, ok := r.receive(w, request)
		if !ok {
			return
		}
		r.mu.Lock()
		l := r.life
		status, reason := r.fenced(l, body, perform)
		answer := map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli()}
		r.mu.Unlock()
		if reason != "" {
			answer["reason"] = reason
		}
		reply(w, status, answer)
	}
}

// fenced carries an order out unless a higher fencing token was seen. The caller holds mu.
func (r *Runner) fenced(l *life, body orderBody, perform func(l *life, body orderBody) (int, string)) (int, string) {
	if body.Fence < l.fence {
		return http.StatusConflict, "fence"
	}
	l.fence = body.Fence
	return perform(l, body)
}

// start carries out a start. The caller holds mu.
func (r *Runner) start(l *life, body orderBody) (int, string) {
	if body.UntilMs <= l.clock() {
		return http.StatusConflict, "late"
	}
	l.extend(body.UntilMs)
	if known := l.active[body.Task]; known != nil && known.run == body.Run {
		return http.StatusOK, ""
	}
	if body.Run <= l.stopped[body.Task] || l.active[body.Task] != nil {
		return http.StatusConflict, "old"
	}
	started := &run{task: body.Task, run: body.Run, started: time.Now(), work: r.site.WorkOf(body.Task, body.Run)}
	l.active[body.Task] = started
	r.site.join(body.Task, body.Run)
	r.site.event(Event{Kind: "start", Runner: r.ID, Task: body.Task, Run: body.Run, Fence: body.Fence})
	return http.StatusOK, ""
}

// stop carries out a stop. The caller holds mu.
func (r *Runner) stop(l *life, body orderBody) (int, string) {
	l.stopped[body.Task] = max(l.stopped[body.Task], body.Run)
	if active := l.active[body.Task]; active != nil && active.run <= body.Run && active.stopping.IsZero() {
		active.stopping = time.Now().Add(stopTime)
	}
	return http.StatusOK, ""
}

// renew carries out the extension and the acknowledgement of a hold. The caller holds mu.
func (r *Runner) renew(l *life, body orderBody) (int, string) {
	if body.UntilMs > 0 {
		l.extend(body.UntilMs)
	}
	r.acknowledge(l, body.AckCursor)
	return http.StatusOK, ""
}

func (r *Runner) hold(w http.ResponseWriter, request *http.Request) {
	body, ok := r.receive(w, request)
	if !ok {
		return
	}
	r.mu.Lock()
	l := r.life
	if status, reason := r.fenced(l, body, r.renew); status != http.StatusOK {
		answer := map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "reason": reason}
		r.mu.Unlock()
		reply(w, status, answer)
		return
	}
	timeout := time.NewTimer(time.Duration(min(body.WaitMs, 2000)) * time.Millisecond)
	defer timeout.Stop()
	for waiting := body.WaitMs > 0; waiting && len(l.ends) == 0; {
		changed := l.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
		r.mu.Lock()
	}
	answer := l.lists()
	r.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

// acknowledge forgets the ends up to a number. The caller holds mu.
func (r *Runner) acknowledge(l *life, cursor int64) {
	kept := []end{}
	for _, e := range l.ends {
		if e.number > cursor {
			kept = append(kept, e)
			continue
		}
		r.site.event(Event{Kind: "noted", Runner: r.ID, Task: e.task, Run: e.run, How: e.how})
	}
	l.ends = kept
}

// lists returns the answer to a hold.
func (l *life) lists() map[string]any {
	active, finished := [][]any{}, [][]any{}
	for _, a := range l.active {
		active = append(active, []any{a.task, a.run, "", a.percent(), 0})
	}
	for _, e := range l.ends {
		if len(finished) == listedEnds {
			break
		}
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "active": active, "finished": finished}
}

func (a *run) percent() int64 {
	lasts := a.work.Lasts
	if lasts == 0 {
		lasts = startupTime
	}
	return min(int64(100*time.Since(a.started)/lasts), 100)
}

// work ends runs until the lifetime is over.
func (r *Runner) work(l *life) {
	for r.site.running() {
		time.Sleep(tick)
		r.mu.Lock()
		if r.life != l || !r.up {
			r.mu.Unlock()
			return
		}
		if l.until > 0 && l.clock() > l.until && !l.lapsed {
			l.lapsed = true
			r.site.event(Event{Kind: "lapse", Runner: r.ID})
		}
		for _, a := range l.active {
			if how := r.ended(l, a); how != "" {
				r.finish(l, a, how)
			}
		}
		r.mu.Unlock()
	}
}

// ended returns how a run has ended, or "".
func (r *Runner) ended(l *life, a *run) string {
	isMember := r.site.GangOf(a.task) > 0
	switch {
	case !a.stopping.IsZero() && time.Now().After(a.stopping):
		return "stopped"
	case isMember && r.site.gangEnd(a) != "":
		return r.site.gangEnd(a)
	case !isMember && a.work.Lasts > 0 && time.Since(a.started) >= a.work.Lasts:
		return a.work.How
	case l.clock() > l.until:
		return "lapsed"
	default:
		return ""
	}
}

// finish lists the end of a run. The caller holds mu.
func (r *Runner) finish(l *life, a *run, how string) {
	delete(l.active, a.task)
	l.stopped[a.task] = max(l.stopped[a.task], a.run)
	l.number++
	l.ends = append(l.ends, end{number: l.number, task: a.task, run: a.run, how: how})
	r.site.event(Event{Kind: "end", Runner: r.ID, Task: a.task, Run: a.run, How: how})
	r.site.leave(a.task, a.run, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// machines lists the machines of the runners.
func (s *Site) machines(w http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	for _, r := range s.Runners {
		row := map[string]any{
			"machine": r.Machine, "pool": Service, "state": "up", "zone": r.Zone, "labels": r.Labels,
			"capacity": map[string]int64{"cpu": r.CPU, "memMb": r.MemMB, "gpu": 0}, "id": r.ID,
		}
		if !r.IsUp() {
			row["state"], row["id"] = "down", ""
		}
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": ""})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error is ignored: a caller that has disconnected cannot receive the answer.
	_ = json.NewEncoder(w).Encode(body)
}

// String names a runner in the record.
func (r *Runner) String() string { return fmt.Sprintf("%s (%s)", r.ID, r.Zone) }
