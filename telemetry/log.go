package telemetry

import (
	"bytes"
	"cmp"
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
	// reservedPerMessage is how many lines of each message are written in a second whatever the number of the others, so that
	// frequent lines of jobs do not displace the rare ones that explain them. There are about a hundred messages.
	reservedPerMessage = 5
	// logQueueCapacity is how many lines are queued for a slow reader of standard output, about the lines of one second.
	logQueueCapacity = 1024
	// maxLogWrite is the size in bytes from which a write takes no further lines.
	maxLogWrite = 32 << 10
)

// LogSink writes lines in the background. A line is dropped and counted if the queue is full or the line limit of the current
// second is reached, so that a stalled reader of the output loses lines but never blocks logging.
type LogSink struct {
	out   io.Writer
	lines chan []byte
	// stop is closed by Close, done when all queued lines are written after that.
	stop chan struct{}
	done chan struct{}
	once sync.Once

	mu     sync.Mutex // guards the fields below
	second int64
	count  int
	// admitted counts the lines of the current second by message, up to reservedPerMessage.
	admitted map[string]int
	// dropped counts the dropped lines by message.
	dropped map[string]int64
	// jobs is nil unless KeepJobs was called.
	jobs *jobLimits
}

// NewLogSink returns a sink that writes to out until Close.
func NewLogSink(out io.Writer) *LogSink {
	s := &LogSink{
		out: out, lines: make(chan []byte, logQueueCapacity), stop: make(chan struct{}), done: make(chan struct{}),
		admitted: map[string]int{}, dropped: map[string]int64{},
	}
	go s.run()
	return s
}

func (s *LogSink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.writeWithQueued(line)
		case <-s.stop:
			for len(s.lines) > 0 {
				s.writeWithQueued(<-s.lines)
			}
			return
		}
	}
}

// writeWithQueued writes a line together with those that are queued, up to maxLogWrite: a controller writes a thousand
// lines a second.
func (s *LogSink) writeWithQueued(batch []byte) {
	for len(batch) < maxLogWrite {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// A write error is ignored: there is no other output to report it on.
	_, _ = s.out.Write(batch)
}

// Write implements io.Writer. It never blocks. Lines after Close are dropped or left in the queue.
func (s *LogSink) Write(line []byte) (int, error) {
	s.countBytes(len(line))
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropEncoded(line)
	}
	return len(line), nil
}

// Prefixes of the message and of the job in a line.
var (
	messagePrefix = []byte(`"msg":"`)
	jobPrefix     = []byte(`"` + jobField + `":"`)
)

// textAfter returns the text between a prefix in an encoded line and the next quotation mark, or "" if it has none.
func textAfter(line, prefix []byte) string {
	if _, rest, found := bytes.Cut(line, prefix); found {
		if text, _, ends := bytes.Cut(rest, []byte(`"`)); ends {
			return string(text)
		}
	}
	return ""
}

// dropEncoded counts an encoded line that the queue did not take.
func (s *LogSink) dropEncoded(line []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	message := cmp.Or(textAfter(line, messagePrefix), "unknown")
	s.dropped[message]++
	if s.keepsJobs() {
		s.jobs.lost(message, textAfter(line, jobPrefix))
	}
}

// drop counts a dropped line by its message. Messages are constants, so their number is bounded.
func (s *LogSink) drop(message string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped[message]++
}

// admit counts a line and reports whether the limits of the current second allow it.
func (s *LogSink) admit(message string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.count = now, 0
		clear(s.admitted)
	}
	s.count++
	if s.admitted[message] < reservedPerMessage {
		s.admitted[message]++
		return true
	}
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

// Close stops the sink after writing the queued lines. It returns after at most wait.
func (s *LogSink) Close(wait time.Duration) {
	s.once.Do(func() { close(s.stop) })
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
	log := zapr.NewLogger(zap.New(boundedCore{core, sink}))
	return log.WithSink(jobLogger{LogSink: log.GetSink(), sink: sink})
}

// boundedCore drops lines beyond the limit of the sink before they are encoded.
type boundedCore struct {
	zapcore.Core
	sink *LogSink
}

// With implements zapcore.Core.
func (c boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return boundedCore{c.Core.With(fields), c.sink}
}

// Check implements zapcore.Core.
func (c boundedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	// A sink that keeps jobs has admitted the line in jobLogger, where its job is known.
	if !c.sink.keepsJobs() && !c.sink.admit(entry.Message) {
		c.sink.drop(entry.Message)
		return checked
	}
	return checked.AddCore(entry, c)
}
