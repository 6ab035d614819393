package telemetry

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logLinesPerSecond bounds the volume of the log. A controller at current site sizes writes about 600 lines per second.
	logLinesPerSecond = 1500
	// logQueueCapacity is how many lines are queued for a slow reader of standard output, about the lines of one second.
	logQueueCapacity = 1024
)

// LogSink writes lines in the background. A line is dropped and counted if the queue is full or the line limit of the current
// second is reached, so that a stalled reader of the output loses lines but never blocks logging.
type LogSink struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	once  sync.Once

	mu     sync.Mutex // guards the fields below
	second int64
	count  int
	// dropped counts the dropped lines by message.
	dropped map[string]int64
}

// NewLogSink returns a sink that writes to out until Close.
func NewLogSink(out io.Writer) *LogSink {
	s := &LogSink{out: out, lines: make(chan []byte, logQueueCapacity), done: make(chan struct{}), dropped: map[string]int64{}}
	go s.run()
	return s
}

func (s *LogSink) run() {
	defer close(s.done)
	for line := range s.lines {
		// A write error is ignored: there is no other output to report it on.
		_, _ = s.out.Write(line)
	}
}

// Write implements io.Writer. It never blocks.
func (s *LogSink) Write(line []byte) (int, error) {
	if !s.admit() {
		s.drop(line)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.drop(line)
	}
	return len(line), nil
}

// messagePrefix precedes the message in a line.
var messagePrefix = []byte(`"msg":"`)

// drop counts a dropped line by its message. Messages are constants, so their number is bounded.
func (s *LogSink) drop(line []byte) {
	message := "unknown"
	if _, rest, found := bytes.Cut(line, messagePrefix); found {
		if text, _, ends := bytes.Cut(rest, []byte(`"`)); ends {
			message = string(text)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped[message]++
}

// admit counts a line and reports whether the limit of the current second allows it.
func (s *LogSink) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.count = now, 0
	}
	s.count++
	return s.count <= logLinesPerSecond
}

// Dropped returns how many lines were dropped since the last call, by message.
func (s *LogSink) Dropped() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := s.dropped
	s.dropped = map[string]int64{}
	return dropped
}

// Sync implements zapcore.WriteSyncer.
func (s *LogSink) Sync() error { return nil }

// Close stops the sink after writing the queued lines. It returns after at most wait. No line may be written after the call.
func (s *LogSink) Close(wait time.Duration) {
	s.once.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}

// NewLogger returns a logger that writes JSON lines to sink.
func NewLogger(sink *LogSink) logr.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, zapcore.InfoLevel)
	return zapr.NewLogger(zap.New(core))
}
