package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"siskinstack.example/siskinstack/review/platform/rig"
)

const (
	lastingTasks = 36
	lastingCPU   = 2000
	// badTime is how long all runs of the lasting job fail, badRun how long after its start each of them does.
	badTime = 15 * time.Second
	badRun  = time.Second
	// settleTime is the time from the end of the failures to the check: the 6 s of the rule, and the 8 s for which a runner
	// may be left out. watchTime is how long the check lasts: finish_s, after which jobs are asked for, and 4 s; the rule says 3 s.
	settleTime = 14 * time.Second
	watchTime  = 18 * time.Second
)

// trial runs a job whose tasks last. For a while each of its runs fails by itself, as its image is at fault; later runs are
// sound. Then a job with one short task is handed in.
func trial(s *rig.Site, trouble bool) (verdict, error) {
	const lasting, short = "00000000000000b1", "00000000000000b2"
	bad := make(chan struct{})
	s.WorkOf = func(task string, _ int64) rig.Work {
		if !strings.HasPrefix(task, lasting) {
			return rig.Work{Lasts: time.Second, How: "done"}
		}
		select {
		case <-bad:
			return rig.Work{}
		default:
			return rig.Work{Lasts: badRun, How: "failed"}
		}
	}
	if !trouble {
		close(bad)
	}
	if err := deploy(s, runnerCount); err != nil {
		return verdict{}, err
	}
	client := s.Client(s.Nodes[0])
	if client.Submit(lasting, rig.Step{Count: lastingTasks, CPU: lastingCPU, MemMB: 512, LongRunning: true, Image: "reindexer"}) != http.StatusOK {
		return verdict{}, errNotAccepted
	}
	time.Sleep(badTime)
	if trouble {
		close(bad)
		s.Record("from now on, all runs are sound")
	}
	time.Sleep(settleTime)
	if client.Submit(short, rig.Step{Count: 1, CPU: lastingCPU, MemMB: 512, EstimateMs: 1000}) != http.StatusOK {
		return verdict{}, errNotAccepted
	}
	most := 0
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		most = max(most, activeTasks(s, lasting))
	}
	state, _ := client.State(short)
	s.Record("during the check at most %d of %d lasting tasks run; the short job has %d starts and is shown as %s; %.0f of %d cores are in use",
		most, lastingTasks, s.Count("start", short), state, float64(most*lastingCPU)/1000, runnerCount*runnerCPU/1000)
	return verdict{
		broken: most < lastingTasks || s.Count("start", short) == 0,
		what: fmt.Sprintf("%d of %d lasting tasks have not run for %v, the short job has %d starts", lastingTasks-most, lastingTasks,
			watchTime, s.Count("start", short)),
	}, nil
}

func activeTasks(s *rig.Site, job string) int {
	n := 0
	for _, r := range s.Runners {
		for _, task := range r.Active() {
			if strings.HasPrefix(task, job) {
				n++
			}
		}
	}
	return n
}
