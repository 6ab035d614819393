package node_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/standin"
)

// cutWorkers are the workers of the zone that is cut off; its machine is "a".
var cutWorkers = map[string]bool{"w0": true, "w3": true}

// acrossTheCut reports whether a connection leads from one side of the cut to the other.
func acrossTheCut(machine, target string) bool {
	return (machine == "a") != (target == "a" || cutWorkers[target])
}

// Guards against a controller that is replaced because connections to it are refused, while it runs, commits nothing and
// goes on renewing the leases of the workers that it reaches: its tasks then run twice. In the case review/6 a zone was
// cut off with refusals for 5.5 s, and four tasks ran twice for good.
func TestTasksRunOnceWhileTheControllersZoneIsCutOff(t *testing.T) {
	for _, cut := range []struct {
		name string
		// blind keeps the controller from learning that it is suspected or replaced.
		blind   bool
		cutFor  time.Duration
		repeats int
	}{
		{"for 1 s", false, time.Second, 1},
		{"for 5.5 s", false, 5500 * time.Millisecond, 1},
		{"twice", false, 5500 * time.Millisecond, 2},
		{"for 1 s, controller learns nothing", true, time.Second, 1},
		{"for 5.5 s, controller learns nothing", true, 5500 * time.Millisecond, 1},
		{"twice, controller learns nothing", true, 2500 * time.Millisecond, 2},
	} {
		t.Run(cut.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 0, time.Hour)
				for worker := range cutWorkers {
					s.put(workersPrefix+worker, []byte("zone-0"))
				}
				store := &standin.BlindStore{TxnStore: s.store, Prefix: "lead/"}
				a := s.startWith("a", store)
				time.Sleep(2 * time.Second)
				s.start("b")
				s.start("c")
				time.Sleep(time.Second)
				long := step(4)
				long.EstimateMs = time.Hour.Milliseconds() // so that the runs do not count as stalled
				assert.NilError(t, a.submit("0000000000000001", long))
				time.Sleep(time.Second)
				for _, worker := range []string{"w1", "w2", "w4", "w5"} {
					s.put(workersPrefix+worker, []byte("zone-1"))
				}
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(s.fleet.Active()), 4)
				for range cut.repeats {
					store.SetBlind(cut.blind)
					s.links.set(acrossTheCut)
					time.Sleep(cut.cutFor)
					s.links.set(nil)
					store.SetBlind(false)
					time.Sleep(time.Second)
				}
				time.Sleep(15 * time.Second)
				assert.Equal(t, strings.Join(s.fleet.Violations(), "\n"), "")
				assert.Equal(t, len(s.fleet.Active()), 4)
			})
		})
	}
}
