// Package demo runs a whole site in one process on loopback: the stand-in platform and six entry VMs in three
// availability zones. It works the site for less than half a minute, with failures, and checks every promise.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/standin/site"
)

// NotAvailable means that the entry VMs do not have the route that a step needs.
type NotAvailable struct{ Route string }

// Error names the route.
func (e *NotAvailable) Error() string { return "not available: " + e.Route }

// ErrNotVerified means that a promise was broken or not put to the test, or that a step failed.
var ErrNotVerified = eris.New("the demo did not show that every promise is kept")

// State is the result of a step.
type State string

// The results of a step.
const (
	Done        State = "done"
	Unavailable State = "not available"
	Failed      State = "failed"
)

// Step is the report of one step.
type Step struct {
	Name   string `json:"name"`
	State  State  `json:"state"`
	TookMs int64  `json:"took_ms"`
	Detail string `json:"detail"`
}

// Report is the result of the demo.
type Report struct {
	Site     string             `json:"site"`
	TookMs   int64              `json:"took_ms"`
	Steps    []Step             `json:"steps"`
	Promises []promises.Verdict `json:"promises"`
	// Verified is true if every step was done and every promise held with something to see.
	Verified bool `json:"shown"`
}

// Err returns ErrNotShown unless everything was shown.
func (r Report) Err() error {
	if r.Verified {
		return nil
	}
	return ErrNotVerified
}

// run is one run of the demo. Steps may use what earlier ones left here.
type run struct {
	cluster   *cluster
	clients   *clients
	recorder  *recorder
	operators map[string]apiclient.OperatorKey
	serial    atomic.Int64

	mu   sync.Mutex // guards keys
	keys map[string]apiclient.IssuedKey
	// load is what goes on in the background; it ends before the records are taken.
	load []*background
}

// step is one step; detail says what was seen.
type step struct {
	name string
	run  func(*run, context.Context) (detail string, err error)
}

func steps() []step {
	return []step{
		{"ready", (*run).stepReady},
		{"bundle", (*run).stepBundle},
		{"keys", (*run).stepKeys},
		{"requests", (*run).stepRequests},
		{"work", (*run).stepWork},
		{"withdraw, drain, leave", (*run).stepChanges},
		{"kill", (*run).stepKill},
		{"planned stop", (*run).stepStop},
		{"finish", (*run).stepFinish},
	}
}

// stepsLimit leaves two of the demo's 30 s for the checks. Steps that are cut short by it fail.
const stepsLimit = 28 * time.Second

// Run works the site and checks the promises. progress may be nil.
func Run(ctx context.Context, chosen site.Site, progress func(Step)) (Report, error) {
	return runWith(ctx, chosen, progress, startDaemon)
}

func runWith(ctx context.Context, chosen site.Site, progress func(Step), start startFunc) (Report, error) {
	began := time.Now()
	r, err := newRun(ctx, chosen, start)
	if err != nil {
		return Report{}, err
	}
	defer r.close()
	report := Report{Site: chosen.Name, Verified: true}
	limited, cancel := context.WithTimeout(ctx, stepsLimit)
	defer cancel()
	for _, s := range steps() {
		done := r.do(limited, s)
		report.Steps = append(report.Steps, done)
		report.Verified = report.Verified && done.State == Done
		if progress != nil {
			progress(done)
		}
	}
	r.endLoad()
	report.Promises = promises.Check(r.recorder.take(r.cluster))
	for _, verdict := range report.Promises {
		report.Verified = report.Verified && verdict.Verified()
	}
	report.TookMs = time.Since(began).Milliseconds()
	return report, ctx.Err()
}

func newRun(ctx context.Context, chosen site.Site, start startFunc) (*run, error) {
	r := &run{
		clients: newClients(chosen.ClientDelay), recorder: &recorder{},
		operators: map[string]apiclient.OperatorKey{}, keys: map[string]apiclient.IssuedKey{},
	}
	var operators []*siskinv1.Operator
	for _, name := range []string{author, reviewer, signer} {
		key, err := apiclient.NewOperatorKey(name)
		if err != nil {
			return nil, err
		}
		r.operators[name] = key
		operators = append(operators, key.Settings())
	}
	var err error
	r.cluster, err = startCluster(ctx, chosen, operators, start)
	return r, err
}

func (r *run) close() {
	r.endLoad()
	r.cluster.close()
}

func (r *run) endLoad() {
	for _, load := range r.load {
		load.stop()
	}
	r.load = nil
}

func (r *run) do(ctx context.Context, s step) Step {
	began := time.Now()
	detail, err := s.run(r, ctx)
	report := Step{Name: s.name, State: Done, Detail: detail, TookMs: time.Since(began).Milliseconds()}
	var missing *NotAvailable
	switch {
	case errors.As(err, &missing):
		report.State = Unavailable
	case err != nil:
		report.State = Failed
	}
	if err != nil {
		report.Detail = err.Error()
	}
	return report
}

// available turns the answer of an entry VM that does not have a route into NotAvailable.
func available(route string, err error) error {
	var status *apiclient.StatusError
	if errors.As(err, &status) && (status.Status == http.StatusNotFound || status.Status == http.StatusMethodNotAllowed) {
		return &NotAvailable{Route: route}
	}
	return err
}

// next returns a name that no other request or work of the run has.
func (r *run) next(kind string) string { return fmt.Sprintf("%s-%d", kind, r.serial.Add(1)) }

// operator returns a client of an operator that tries every live VM.
func (r *run) operator(name string) (*apiclient.Client, error) {
	var servers []string
	for _, vm := range r.cluster.live() {
		servers = append(servers, vm.settings.GetListen().GetCallers())
	}
	return apiclient.New(apiclient.Options{
		Servers: servers, Key: r.operators[name].Bearer(), Transport: r.clients.transport,
	})
}

// key returns the key of a team; empty if none was issued.
func (r *run) key(team string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[team].Key
}
