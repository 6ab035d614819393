package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// recordingLog keeps the decisions of one kind as maps of their values.
type recordingLog struct {
	discardLog
	event   string
	entries []map[string]any
}

func (r *recordingLog) Decision(event, job string, values ...any) {
	if event != r.event {
		return
	}
	entry := map[string]any{"job": job}
	for i := 0; i+1 < len(values); i += 2 {
		entry[values[i].(string)] = values[i+1]
	}
	r.entries = append(r.entries, entry)
}

// Guards against lost runs whose log lines do not tell a run that had just begun from one that had run for long.
func TestLostRunsAreLoggedWithTheirAge(t *testing.T) {
	f := newFixture(t, 1)
	log := &recordingLog{event: "run lost"}
	f.state.log = log
	f.state.AddJob(job("old", step(1, 1000)), nil)
	f.step()
	f.now = f.now.Add(3 * time.Second)
	f.state.AddJob(job("new", step(1, 1000)), nil)
	f.step()
	w := f.workers[0]
	f.state.RenewFailed(w, f.now)
	f.now = f.now.Add(4 * time.Second)
	w.Info.Incarnation, f.running[w] = 1, map[string]infra.ActiveRun{}
	f.state.ApplyReport(w, infra.RunReport{Incarnation: 2}, f.now, f.now, f.unixMs())
	assert.Equal(t, len(log.entries), 2)
	for _, entry := range log.entries {
		age := time.Duration(entry["age_ms"].(int64)) * time.Millisecond
		if entry["job"] == "new" {
			assert.Assert(t, age < 100*time.Millisecond, "age %v", age)
		} else {
			assert.Assert(t, age >= 3*time.Second && age < 4*time.Second, "age %v", age)
		}
	}
}
