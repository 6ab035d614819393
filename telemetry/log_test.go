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

// countingWriter counts the calls of Write.
type countingWriter struct {
	bytes.Buffer
	writes int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes++
	return w.Buffer.Write(p)
}

// Guards against one system call for each of a thousand lines a second.
func TestQueuedLinesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out countingWriter
		sink := NewLogSink(&out)
		log := NewLogger(sink)
		for range 200 {
			log.Info("line")
		}
		sink.Close(time.Second)
		assert.Equal(t, strings.Count(out.String(), "\n"), 200)
		assert.Assert(t, out.writes < 20, "%d writes", out.writes)
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
