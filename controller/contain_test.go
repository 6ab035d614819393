package controller

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/election"
	"siskinstack.example/siskinstack/infra"
)

type panickingFleet struct{ infra.Fleet }

func (panickingFleet) Renew(context.Context, infra.FleetWorker, infra.RenewOrder) (infra.RunReport, error) {
	panic("response cannot be decoded")
}

type panickingAdvisor struct{ infra.Advisor }

func (panickingAdvisor) Advise(context.Context, string, []string) (infra.Advice, error) {
	panic("response cannot be decoded")
}

// newTestTerm returns a term whose entries of workers consist of a service; "odd" cannot be decoded, "panic" panics.
func newTestTerm(t *testing.T) *term {
	return newTerm(Options{
		Clock: clock.Real{}, Log: logr.Discard(), Metrics: NewMetrics(nil), Fleet: panickingFleet{}, Advisor: panickingAdvisor{},
		WorkersPrefix: "w/",
		DecodeWorker: func(kv infra.KeyValue) (infra.FleetWorker, error) {
			switch string(kv.Value) {
			case "odd":
				return infra.FleetWorker{}, eris.New("odd entry")
			case "panic":
				panic("entry cannot be decoded")
			}
			return infra.FleetWorker{ID: kv.Key[len("w/"):], Service: string(kv.Value)}, nil
		},
	}, &election.Term{})
}

// Guards against one response of a worker or the advisor that ends the process, and with it all sessions.
func TestPanicsInResponsesAreErrors(t *testing.T) {
	c := newTestTerm(t)
	_, err := c.Fleet.Renew(t.Context(), infra.FleetWorker{}, infra.RenewOrder{})
	assert.ErrorContains(t, err, "panic in renew")
	_, err = c.Advisor.Advise(t.Context(), "step", nil)
	assert.ErrorContains(t, err, "panic in advise")
}

// Guards against one odd entry that ends the controller, hides the workers beside it, or stays a worker.
func TestOddEntriesNameNoWorker(t *testing.T) {
	c := newTestTerm(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the sessions of the workers end at once
	defer c.goroutines.Wait()
	entry := func(id, value string) infra.KeyValue { return infra.KeyValue{Key: "w/" + id, Value: []byte(value)} }
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyWorkers(ctx, []infra.KeyValue{entry("a", "s"), entry("b", "odd"), entry("c", "panic"), entry("d", "s")}, true)
	assert.Equal(t, len(c.state.Workers()), 2)
	assert.Assert(t, c.state.Worker("a").Listed && c.state.Worker("d").Listed)
	assert.Equal(t, len(c.refusedEntries), 2)
	// Another writer replaces the entry of a known worker, in an event and in a listing.
	c.applyWorker(ctx, infra.Event{KeyValue: entry("a", "panic")})
	assert.Assert(t, !c.state.Worker("a").Listed)
	c.applyWorkers(ctx, []infra.KeyValue{entry("a", "odd"), entry("d", "odd")}, false)
	assert.Assert(t, !c.state.Worker("a").Listed && !c.state.Worker("d").Listed)
	c.applyWorkers(ctx, []infra.KeyValue{entry("a", "s"), entry("d", "s")}, false)
	assert.Assert(t, c.state.Worker("a").Listed && c.state.Worker("d").Listed)
	assert.Equal(t, len(c.refusedEntries), 0)
}

// Guards against unbounded memory for the entries of other writers.
func TestRefusedEntriesAreBounded(t *testing.T) {
	c := newTestTerm(t)
	for i := range 2 * maxRefusedEntries {
		c.refuseEntry(string(rune('a'+i)), eris.New("odd entry"))
	}
	assert.Equal(t, len(c.refusedEntries), maxRefusedEntries)
}

// Guards against a stored job that ends every controller that reads it.
func TestJobThatCannotBeLoadedIsSkipped(t *testing.T) {
	c := newTestTerm(t)
	c.addJob(&siskinv1.Workflow{Id: "bad", Steps: []*siskinv1.WorkflowStep{{Count: -1}}}, "test")
	assert.Assert(t, c.state.Job("bad") == nil)
	c.addJob(&siskinv1.Workflow{Id: "good", Steps: []*siskinv1.WorkflowStep{{Count: 1}}}, "test")
	assert.Assert(t, c.state.Job("good") != nil)
}
