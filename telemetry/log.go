package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logLinesPerSecond bounds the volume of the log. A controller at the sizes of today writes about 600 lines a second.
	logLinesPerSecond = 1500
	// logQueue is how many lines wait for a reader of standard output that is slow, about a second's worth.
	logQueue = 1024
)

// LogSink writes lines in the background. A line that finds the queue full, or the volume of the second used up, is left
// out and counted, so that a reader that stalls costs lines and never holds up what is logged.
type LogSink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once

	mu     sync.Mutex // guards second and written
	second int64
	count  int
}

// NewLogSink returns a sink that writes to out until it is closed.
func NewLogSink(out io.Writer) *LogSink {
	s := &LogSink{out: out, lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *LogSink) run() {
	defer close(s.done)
	for line := range s.lines {
		// Nobody could be told that standard output fails.
		_, _ = s.out.Write(line)
	}
}

// Write implements io.Writer. It never blocks.
func (s *LogSink) Write(line []byte) (int, error) {
	if !s.admit() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// admit reports whether the volume of this second allows one more line.
func (s *LogSink) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.count = now, 0
	}
	s.count++
	return s.count <= logLinesPerSecond
}

// Dropped returns how many lines were left out since the last call.
func (s *LogSink) Dropped() int64 { return s.dropped.Swap(0) }

// Sync implements zapcore.WriteSyncer.
func (s *LogSink) Sync() error { return nil }

// Close writes the lines that wait, for at most a moment, and ends the sink.
func (s *LogSink) Close(wait time.Duration) {
	s.once.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}

// NewLogger returns a logger of JSON lines.
func NewLogger(sink *LogSink) logr.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, zapcore.InfoLevel)
	return zapr.NewLogger(zap.New(core))
}
