package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// tick is how often runs are advanced.
	tick = 5 * time.Millisecond
	// holdMax is the longest lease, gangWait how long a member of a gang waits for the others, breakAfter how long after
	// the end of one member the others end as broken.
	holdMax    = 6 * time.Second
	gangWait   = 3 * time.Second
	breakAfter = 200 * time.Millisecond
	// failAfter is when a task fails on a runner that fails all that it starts, and failSpread by how much that differs.
	failAfter, failSpread = 50 * time.Millisecond, 400 * time.Millisecond
	// runnerCPU is the capacity of a runner in thousandths of a core.
	runnerCPU = 64000
	// fullPercent is the progress of a task that lasts and is at work.
	fullPercent = 100
)

// task is what the rig knows of a task from the job that a client sent.
type task struct {
	// work is how long a run takes; lasts is true if it goes on until it is stopped, and is at work after work.
	work  time.Duration
	lasts bool
	// gang is the number of members, 0 for a task of its own.
	gang int
}

// run is one run of a task on a life of a runner.
type run struct {
	name    string
	number  int
	started time.Time
	// working is when it began to work: for a member of a gang when all were present.
	working time.Time
	// broken is when it ends because another member has ended.
	broken time.Time
	// fails is how long it works on a runner that fails all that it starts.
	fails time.Duration
}

// life is one lifetime of a runner.
type life struct {
	born    int64
	began   time.Time
	fence   int64
	lease   time.Time
	active  map[string]*run
	highest map[string]int
	ended   [][]any
	ends    int64
}

// runner is a machine with its present life.
type runner struct {
	fleet             *fleet
	id, machine, zone string
	labels            []string
	cpu               int64
	address           string
	current           *life
	lives             int
	down, fails       bool
	busyUntil         time.Time
	wave              int64
}

// fleet holds all runners, and what they did.
type fleet struct {
	mu      sync.Mutex // guards all fields below
	record  *record
	runners []*runner
	tasks   func(name string) task
	// failed counts the runs that have ended as failed, by task.
	failed map[string]int
	// failedGangs are the runs in which a task of a job has failed.
	failedGangs map[string]map[int]bool
	starts      map[string]int
}

func newFleet(r *record, tasks func(name string) task) *fleet {
	return &fleet{
		record: r, tasks: tasks, failed: map[string]int{}, starts: map[string]int{},
		failedGangs: map[string]map[int]bool{},
	}
}

func newLife() *life {
	return &life{
		born: time.Now().UnixMilli(), began: time.Now(), active: map[string]*run{}, highest: map[string]int{},
	}
}

func (l *life) clockMs() int64 { return time.Since(l.began).Milliseconds() + 1 }

type lifeKey struct{}

// add starts a runner on a free port.
func (f *fleet) add(id, zone string, labels ...string) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		fleet: f, id: id, machine: "m-" + id, zone: zone, labels: labels, cpu: runnerCPU, address: listener.Addr().String(),
		current: newLife(),
	}
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			f.mu.Lock()
			defer f.mu.Unlock()
			if r.down {
				return context.WithValue(ctx, lifeKey{}, (*life)(nil))
			}
			return context.WithValue(ctx, lifeKey{}, r.current)
		}}
	go func() { _ = server.Serve(listener) }()
	return r, nil
}

// advance ends the runs that are due, until ctx ends.
func (f *fleet) advance(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(tick)
		f.mu.Lock()
		now := time.Now()
		for _, r := range f.runners {
			if !r.down {
				r.advance(now)
			}
		}
		f.mu.Unlock()
	}
}

func (r *runner) advance(now time.Time) {
	for _, x := range r.current.active {
		t := r.fleet.tasks(x.name)
		switch {
		case !r.current.lease.After(now):
			r.end(x, "lapsed")
		case x.working.IsZero():
			if now.Sub(x.started) > gangWait {
				r.end(x, "alone")
			}
		case r.fails && now.Sub(x.working) >= x.fails:
			r.end(x, "failed")
		case !x.broken.IsZero():
			if !x.broken.After(now) {
				r.end(x, "broken")
			}
		case !t.lasts && now.Sub(x.working) >= t.work:
			r.end(x, "done")
		}
	}
}

// end ends a run. The other members of its gang end as done at once, or as broken: at once on the same runner, a little later on
// others, which have to learn of it.
func (r *runner) end(x *run, how string) {
	r.finish(x, how)
	if how == "broken" || r.fleet.tasks(x.name).gang == 0 {
		return
	}
	r.fleet.endGang(r, x, how)
}

// finish lists the end of a run.
func (r *runner) finish(x *run, how string) {
	l := r.current
	delete(l.active, x.name)
	l.highest[x.name] = max(l.highest[x.name], x.number)
	l.ends++
	l.ended = append(l.ended, []any{l.ends, x.name, x.number, how, ""})
	r.fleet.record.line("%s ends %s run %d: %s", r.id, x.name, x.number, how)
	if how == "failed" {
		r.fleet.failed[x.name]++
		id, _, _ := strings.Cut(x.name, ".")
		if r.fleet.failedGangs[id] == nil {
			r.fleet.failedGangs[id] = map[int]bool{}
		}
		r.fleet.failedGangs[id][x.number] = true
	}
}

// endGang ends the other members of the gang of a run that has ended on a runner.
func (f *fleet) endGang(r *runner, x *run, how string) {
	for _, other := range f.gangOf(x) {
		switch {
		case how == "done":
			other.runner.finish(other.run, how)
		case other.runner == r:
			r.finish(other.run, "broken")
		case other.run.broken.IsZero():
			other.run.broken = time.Now().Add(breakAfter)
		}
	}
}

type placed struct {
	runner *runner
	run    *run
}

// gangOf returns the runs of the same gang that are active.
func (f *fleet) gangOf(x *run) []placed {
	step := x.name[:strings.LastIndex(x.name, ".")+1]
	var members []placed
	for _, r := range f.runners {
		for _, other := range r.current.active {
			if strings.HasPrefix(other.name, step) && other.number == x.number {
				members = append(members, placed{r, other})
			}
		}
	}
	return members
}

type order struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Until  int64  `json:"untilMs"`
	Fence  int64  `json:"fencingToken"`
	Ack    int64  `json:"ackCursor"`
	WaitMs int64  `json:"waitMs"`
}

// serve serves a request. One that a life took before it ended stays without an answer. One on a connection of a former life is
// reset once the machine is up again, since its host does not know the connection any more.
func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	taken := r.isAlive(q)
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var status int
	var body map[string]any
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for {
		var again bool
		status, body, again = r.answer(q, o)
		if !again || !time.Now().Before(deadline) {
			break
		}
		time.Sleep(tick)
	}
	for status == 0 && q.Context().Err() == nil {
		if !taken && !r.isDown() {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(tick)
	}
	if status == 0 {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// isAlive reports whether the life that took the connection of a request goes on.
func (r *runner) isAlive(q *http.Request) bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	l, _ := q.Context().Value(lifeKey{}).(*life)
	return !r.down && l == r.current
}

func (r *runner) isDown() bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.down
}

// answer returns the answer to an order, status 0 for none. again is true for a hold without ends, which may wait.
func (r *runner) answer(q *http.Request, o order) (status int, body map[string]any, again bool) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	l, _ := q.Context().Value(lifeKey{}).(*life)
	if r.down || l != r.current {
		return 0, nil, false
	}
	body = map[string]any{"clockMs": l.clockMs(), "born": l.born}
	if q.Header.Get("Siskinstack-Expect-Instance") != r.id {
		return http.StatusMisdirectedRequest, body, false
	}
	if o.Fence < l.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body, false
	}
	l.fence = o.Fence
	switch q.URL.Path {
	case "/siskinstack/run-start":
		status = r.start(o, body)
	case "/siskinstack/run-stop":
		if x := l.active[o.Task]; x != nil && x.number <= o.Run {
			r.end(x, "stopped")
		}
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		status = http.StatusOK
	case "/siskinstack/hold":
		status = http.StatusOK
		l.extend(o.Until)
		r.list(o.Ack, body)
		again = len(l.ended) == 0
	default:
		status = http.StatusNotFound
	}
	return status, body, again
}

func (l *life) extend(untilMs int64) {
	until := l.began.Add(time.Duration(untilMs) * time.Millisecond)
	if longest := time.Now().Add(holdMax); until.After(longest) {
		until = longest
	}
	if until.After(l.lease) {
		l.lease = until
	}
}

func (r *runner) start(o order, body map[string]any) int {
	l := r.current
	x := l.active[o.Task]
	switch {
	case x != nil && x.number == o.Run:
		return http.StatusOK
	case o.Run <= l.highest[o.Task] || x != nil && o.Run < x.number:
		l.extend(o.Until)
		body["reason"] = "old"
		return http.StatusConflict
	case o.Until <= l.clockMs():
		body["reason"] = "late"
		return http.StatusConflict
	}
	l.extend(o.Until)
	x = &run{name: o.Task, number: o.Run, started: time.Now(), fails: failAfter + rand.N(failSpread)}
	l.active[o.Task] = x
	r.fleet.starts[o.Task]++
	r.fleet.record.line("%s starts %s run %d", r.id, o.Task, o.Run)
	members := r.fleet.gangOf(x)
	if gang := r.fleet.tasks(o.Task).gang; len(members) >= gang || gang == 0 {
		for _, m := range members {
			m.run.working = x.started
		}
		x.working = x.started
	}
	return http.StatusOK
}

// list adds both lists to an answer.
func (r *runner) list(ack int64, body map[string]any) {
	l := r.current
	kept := l.ended[:0:0]
	for _, e := range l.ended {
		if number, ok := e[0].(int64); ok && number > ack {
			kept = append(kept, e)
		}
	}
	l.ended = kept
	active := [][]any{}
	for _, x := range l.active {
		percent := 0
		t := r.fleet.tasks(x.name)
		if !x.working.IsZero() {
			percent = int(min(fullPercent, fullPercent*time.Since(x.working)/max(t.work, tick)))
		}
		if !t.lasts {
			percent = min(percent, fullPercent-1)
		}
		active = append(active, []any{x.name, x.number, "", percent, 0})
	}
	body["active"], body["finished"] = active, append([][]any{}, l.ended...)
}

// crash ends the runner's life without a word; its machine is down.
func (r *runner) crash() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.down = true
	tasks := len(r.current.active)
	r.current = newLife()
	r.fleet.record.line("%s goes down with %d runs", r.id, tasks)
}

// restart begins another life under a new identifier.
func (r *runner) restart() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.lives++
	r.id = strings.TrimPrefix(r.machine, "m-") + "-" + strconv.Itoa(r.lives)
	r.current, r.down = newLife(), false
	r.fleet.record.line("%s comes up as %s", r.machine, r.id)
}
