package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that blocks on logging because its standard output is not read.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		sink := NewLogSink(writer)
		log := NewLogger(sink)
		began := time.Now()
		for range 10 * logQueueCapacity {
			log.Info("accepted", "job", "j1")
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, sink.Dropped()["accepted"] >= 8*logQueueCapacity)
		assert.NilError(t, reader.Close())
		sink.Close(time.Second)
	})
}

// Guards against a log volume without a limit under load, and against lines that are still dropped in the next second.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		sink := NewLogSink(&out)
		log := NewLogger(sink)
		for range 2 * logLinesPerSecond {
			log.Info("line")
			synctest.Wait()
		}
		assert.DeepEqual(t, sink.Dropped(), map[string]int64{"line": logLinesPerSecond})
		assert.Equal(t, len(sink.Dropped()), 0)
		time.Sleep(time.Second)
		log.Info("later")
		sink.Close(time.Second)
		assert.Equal(t, strings.Count(out.String(), "\n"), logLinesPerSecond+1)
	})
}

// Guards against rare lines that are dropped because of frequent ones, as when a controller is overloaded.
func TestRareLinesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		sink := NewLogSink(&out)
		log := NewLogger(sink)
		for range 2 * logLinesPerSecond {
			log.Info("start")
			synctest.Wait()
		}
		for range 2 * reservedPerMessage {
			log.Info("controller load")
		}
		sink.Close(time.Second)
		assert.Equal(t, strings.Count(out.String(), "controller load"), reservedPerMessage)
	})
}

// heldWriter counts the calls of Write. The first one returns only when release is closed.
type heldWriter struct {
	bytes.Buffer
	writes  int
	release chan struct{}
}

func (w *heldWriter) Write(p []byte) (int, error) {
	w.writes++
	<-w.release
	return w.Buffer.Write(p)
}

// Guards against one system call for each of a thousand lines a second: lines that are queued while a write is under way
// go out in the next one.
func TestQueuedLinesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &heldWriter{release: make(chan struct{})}
		sink := NewLogSink(out)
		log := NewLogger(sink)
		log.Info("first")
		synctest.Wait() // the first write is under way
		for range 200 {
			log.Info("line")
		}
		close(out.release)
		sink.Close(time.Second)
		assert.Equal(t, strings.Count(out.String(), "\n"), 201)
		assert.Equal(t, out.writes, 2)
	})
}

// Guards against a process that ends with a panic because a goroutine logs while it stops.
func TestLineAfterCloseIsHarmless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		sink := NewLogSink(&out)
		log := NewLogger(sink)
		sink.Close(time.Second)
		for range 2 * logQueueCapacity {
			log.Info("late")
		}
		assert.Equal(t, out.Len(), 0)
	})
}
