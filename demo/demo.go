// Package demo runs a whole site in one process on loopback: the stand-in platform and six entry VMs in three
// availability zones. It puts load on the site for less than 30 s, injects failures and checks every guarantee of the
// system.
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

// NotAvailable is the error of a step that needs a route which the entry VMs do not have.
type NotAvailable struct{ Route string }

// Error names the route.
func (e *NotAvailable) Error() string { return "not available: " + e.Route }

// ErrNotVerified means that a guarantee was violated or not exercised, or that a step failed.
var ErrNotVerified = eris.New("the demo did not verify every guarantee")

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
	// Verified is true if every step was done and every guarantee held and was exercised.
	Verified bool `json:"shown"`
}

// Err returns ErrNotVerified unless the report is verified.
func (r Report) Err() error {
	if r.Verified {
		return nil
	}
	return ErrNotVerified
}

// run is one run of the demo. It holds the state that steps pass to later ones.
type run struct {
	cluster   *cluster
	clients   *clients
	recorder  *recorder
	operators map[string]apiclient.OperatorKey
	serial    atomic.Int64

	mu   sync.Mutex // guards keys
	keys map[string]apiclient.IssuedKey
	// load is the background load; it ends before the records are taken.
	load []*background
}

// step is one step of the demo; detail describes the result.
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

// stepsLimit bounds all steps; it leaves 2 s of the demo's 30 s for the checks. A step that exceeds it fails.
const stepsLimit = 28 * time.Second

// Run runs all steps on the site and checks the guarantees. progress, which may be nil, is called after each step.
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
		done := r.runStep(limited, s)
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

func (r *run) runStep(ctx context.Context, s step) Step {
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

// asNotAvailable converts the error for a route that an entry VM does not have to NotAvailable; it returns other errors
// unchanged.
func asNotAvailable(route string, err error) error {
	var status *apiclient.StatusError
	if errors.As(err, &status) && (status.Status == http.StatusNotFound || status.Status == http.StatusMethodNotAllowed) {
		return &NotAvailable{Route: route}
	}
	return err
}

// uniqueName returns a name that no other request or work of the run has.
func (r *run) uniqueName(kind string) string { return fmt.Sprintf("%s-%d", kind, r.serial.Add(1)) }

// operatorClient returns a client with the key of an operator that tries every live VM.
func (r *run) operatorClient(name string) (*apiclient.Client, error) {
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
