package node_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/joblog"
	"siskinstack.example/siskinstack/standin"
)

const (
	operationsPage = "../docs/OPERATIONS.md"
	tracedJob      = "0000000000000001"
)

// logBuffer collects the log lines of all machines as they are written to standard output.
type logBuffer struct {
	mu    sync.Mutex // guards lines
	lines bytes.Buffer
}

func (m *logBuffer) logger() logr.Logger {
	return funcr.NewJSON(func(line string) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lines.WriteString(line + "\n")
	}, funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano})
}

// trace returns the trace of a job.
func (m *logBuffer) trace(t *testing.T, job string) []joblog.Entry {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	trace, err := joblog.Read(job, bytes.NewReader(m.lines.Bytes()))
	assert.NilError(t, err)
	return trace
}

func (m *logBuffer) has(text string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Contains(m.lines.String(), text)
}

// pageTraces returns the log lines that the operations page lists in a section, one list for each trace.
func pageTraces(t *testing.T, section string) [][]string {
	t.Helper()
	page, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	_, text, found := strings.Cut(string(page), "### "+section)
	assert.Assert(t, found, "section %q", section)
	text, _, _ = strings.Cut(text, "\n#")
	var traces [][]string
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, "Trace") {
			continue
		}
		var steps []string
		for _, step := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(line, -1) {
			steps = append(steps, step[1])
		}
		traces = append(traces, steps)
	}
	return traces
}

// assertTrace fails if a trace does not contain the lines of the page in order.
func assertTrace(t *testing.T, trace []joblog.Entry, steps []string) {
	t.Helper()
	next := 0
	for _, step := range steps {
		for next < len(trace) && !matchesStep(trace[next], step) {
			next++
		}
		if next == len(trace) {
			for _, entry := range trace {
				t.Logf("%s %v", entry.Message, entry.Values)
			}
			t.Fatalf("no line %q after the lines of the earlier steps", step)
		}
		next++
	}
}

// matchesStep reports whether a line has the message and fields that the page gives for a step.
func matchesStep(entry joblog.Entry, step string) bool {
	fields := strings.Fields(step)
	message := len(fields)
	for message > 0 && strings.Contains(fields[message-1], "=") {
		message--
	}
	if entry.Message != strings.Join(fields[:message], " ") {
		return false
	}
	for _, field := range fields[message:] {
		if !strings.Contains(" "+strings.Join(entry.Values, " ")+" ", " "+field+" ") {
			return false
		}
	}
	return true
}

// Guards against a refused job whose cause is missing from the logs.
func TestTraceOfARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		s.store.SetFault(func(call string, _ infra.Txn) standin.TxnFault {
			if call == "commit" {
				return standin.TxnRefuse
			}
			return 0
		})
		assert.ErrorContains(t, a.submit(tracedJob, step(1)), "")
		s.store.SetFault(nil)
		assertTrace(t, s.log.trace(t, tracedJob), pageTraces(t, "1.")[0])
	})
}

// partitionedStore does not respond to List and Watch while partitioned is set.
type partitionedStore struct {
	*standin.TxnStore
	partitioned atomic.Bool
}

func (c *partitionedStore) List(ctx context.Context, prefix string) (infra.Listing, error) {
	if c.partitioned.Load() {
		<-ctx.Done()
		return infra.Listing{}, ctx.Err()
	}
	return c.TxnStore.List(ctx, prefix)
}

func (c *partitionedStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	if c.partitioned.Load() {
		<-ctx.Done()
		return infra.WatchResult{}, ctx.Err()
	}
	return c.TxnStore.Watch(ctx, request)
}

// Guards against a refusal in a partitioned zone whose cause is missing from the logs.
func TestTraceOfARefusalInAPartitionedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		s.start("a")
		store := &partitionedStore{TxnStore: s.store}
		b := s.startWith("b", store)
		time.Sleep(2 * time.Second)
		store.partitioned.Store(true)
		time.Sleep(maxConfigAge + 2*time.Second)
		assert.ErrorContains(t, b.submit(tracedJob, step(1)), "")
		assertTrace(t, s.log.trace(t, tracedJob), pageTraces(t, "1.")[1])
		assert.Assert(t, s.log.has("configuration not followed"))
	})
}

// Guards against a delayed job whose cause, a change of controllers or the advisor, is missing from the logs.
func TestTraceOfAJobDelayedByATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		s.store.SetFault(func(call string, _ infra.Txn) standin.TxnFault {
			if call == "renew" || call == "grant" {
				return standin.TxnRefuse
			}
			return 0
		})
		time.Sleep(2 * time.Second)
		assert.NilError(t, a.submitTo("/a/", tracedJob, step(1)))
		time.Sleep(2 * time.Second)
		s.store.SetFault(nil)
		time.Sleep(5 * time.Second)
		assert.Equal(t, a.phase(tracedJob), succeeded)
		assertTrace(t, s.log.trace(t, tracedJob), pageTraces(t, "2.")[0])
		assert.Assert(t, s.log.has("controller term begins") && s.log.has("controller recovered"))
	})
}

// Guards against a job that waits at its team's ceiling without a log line for it.
func TestTraceOfAJobAtACeiling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 30, time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		large := step(testCeiling / 1000)
		assert.NilError(t, a.submit("0000000000000002", large))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, a.submit(tracedJob, step(1)))
		time.Sleep(5 * time.Second)
		assertTrace(t, s.log.trace(t, tracedJob), pageTraces(t, "2.")[1])
	})
}

// Guards against a failed job whose attempts and workers are missing from the logs.
func TestTraceOfAFailedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, 500*time.Millisecond)
		for i := range 2 {
			s.fleet.SetFailing(fmt.Sprintf("w%d", i), true)
		}
		a := s.start("a")
		time.Sleep(2 * time.Second)
		assert.NilError(t, a.submit(tracedJob, step(1)))
		time.Sleep(10 * time.Second)
		trace := s.log.trace(t, tracedJob)
		assertTrace(t, trace, pageTraces(t, "3.")[0])
		assert.Assert(t, strings.Contains(fmt.Sprint(trace), "worker=w"), "the trace names no worker of a failed run")
	})
}

// Guards against a job that failed because its task crashes workers, and whose trace shows neither the crashes nor the
// cause.
func TestTraceOfATaskThatCrashesItsWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4, 500*time.Millisecond)
		s.fleet.SetCrashing(func(task string) bool { return strings.HasPrefix(task, tracedJob) }, func(worker string) {
			time.AfterFunc(time.Second, func() { s.fleet.Restart(worker) })
		})
		a := s.start("a")
		time.Sleep(2 * time.Second)
		assert.NilError(t, a.submit(tracedJob, step(1)))
		time.Sleep(20 * time.Second)
		assertTrace(t, s.log.trace(t, tracedJob), pageTraces(t, "4.")[0])
	})
}
