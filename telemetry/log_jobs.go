package telemetry

import (
	"time"

	"github.com/go-logr/logr"
)

const (
	// logBytesPerSecond bounds the volume of a log that keeps jobs, at 350 bytes a line; the lines of nilewheel had 230 on
	// average.
	logBytesPerSecond = 350 * logLinesPerSecond
	// sampledShare is one in how many jobs has all its lines kept. At five times the limit these are 235 lines a second. With
	// one in 16, lines of them were dropped when 120 jobs were open and few of these had most of the lines.
	sampledShare = 32
	// minReserve is the least number of lines a second that is reserved for the rest of each second for lines that are kept:
	// twice the sampled lines at five times the limit and the rare lines of 100 jobs a second (300), because the lines of few
	// jobs come unevenly. Other lines that come evenly are not dropped up to the limit, and 400 at once are not.
	minReserve = 1100
	// reservePercent is how many percent of the lines that were to be kept in the last second are reserved, if that is more.
	reservePercent = 150
	// queueForKept is how much of the queue only lines that are kept may use, in percent.
	queueForKept = 25
	// firstSlots is the number of jobs whose first lines are remembered. Another job in the same slot costs a line too many.
	firstSlots = 1 << 14
)

// JobLines names the messages of jobs that are kept for all jobs while the limit of the log is reached.
type JobLines struct {
	// Always are messages of which each line is kept, First those of which the first line of a job is.
	Always, First []string
}

// jobLimits are the limits of a sink that keeps jobs. The mu of the sink guards the fields that change.
type jobLimits struct {
	always, first map[string]bool
	// lines and bytes count what the current second has taken; keptWanted counts the lines that are to be kept, dropped ones
	// included.
	lines, bytes, keptWanted int
	// reserve is the rate, in lines a second, at which lines that are to be kept may come in the rest of the second.
	reserve int
	// seen holds the hash of the last job in each slot whose first line was written.
	seen     []uint64
	keptLost int64
}

// KeepJobs makes the sink keep the lines of a sampled share of jobs whole while its limit is reached, and lines of all
// jobs, and limits the bytes of a second. It must be called before the sink is used by several goroutines.
func (s *LogSink) KeepJobs(lines JobLines) {
	limits := &jobLimits{always: map[string]bool{}, first: map[string]bool{}, reserve: minReserve, seen: make([]uint64, firstSlots)}
	for _, message := range lines.Always {
		limits.always[message] = true
	}
	for _, message := range lines.First {
		limits.first[message] = true
	}
	s.jobs = limits
}

func (s *LogSink) keepsJobs() bool { return s.jobs != nil }

// jobField is the key of the field that names the job of a line.
const jobField = "job"

// jobOf returns the job that the values of a line name, or that of its logger.
func jobOf(values []any, ofLogger string) string {
	for i := 0; i+1 < len(values); i += 2 {
		if key, _ := values[i].(string); key == jobField {
			job, _ := values[i+1].(string)
			return job
		}
	}
	return ofLogger
}

// jobLogger drops lines beyond the limits of a sink that keeps jobs, before their values are converted.
type jobLogger struct {
	logr.LogSink
	sink *LogSink
	// job is the job of all lines of the logger; empty if it has none.
	job string
}

// Info implements logr.LogSink.
func (l jobLogger) Info(level int, message string, values ...any) {
	if !l.sink.keepsJobs() || l.sink.admitJob(message, jobOf(values, l.job)) {
		l.LogSink.Info(level, message, values...)
	}
}

// Error implements logr.LogSink.
func (l jobLogger) Error(err error, message string, values ...any) {
	if !l.sink.keepsJobs() || l.sink.admitJob(message, jobOf(values, l.job)) {
		l.LogSink.Error(err, message, values...)
	}
}

// WithValues implements logr.LogSink.
func (l jobLogger) WithValues(values ...any) logr.LogSink {
	return jobLogger{l.LogSink.WithValues(values...), l.sink, jobOf(values, l.job)}
}

// WithName implements logr.LogSink.
func (l jobLogger) WithName(name string) logr.LogSink {
	return jobLogger{l.LogSink.WithName(name), l.sink, l.job}
}

// IsSampledJob reports whether all lines of a job are kept. All machines sample the same jobs.
func IsSampledJob(job string) bool { return job != "" && jobHash(job)%sampledShare == 0 }

// jobHash is the FNV-1a hash of a job identifier with its bits mixed: the low bits of the plain hash of similar
// identifiers differ little.
func jobHash(job string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(job) {
		hash = (hash ^ uint64(job[i])) * 1099511628211
	}
	hash ^= hash >> 32
	hash *= 0xd6e8feb86659fd93
	return hash ^ hash>>32
}

// slot returns where the hash of a job's first line of a message is remembered, and the hash.
func (l *jobLimits) slot(message, job string) (slot *uint64, hash uint64) {
	hash = jobHash(job) ^ jobHash(message)
	return &l.seen[hash%firstSlots], hash
}

// isKept reports whether a line is to be kept while the limit is reached.
func (l *jobLimits) isKept(message, job string) bool {
	if job == "" {
		return false
	}
	if l.first[message] {
		if slot, hash := l.slot(message, job); *slot != hash {
			return true
		}
	}
	return l.always[message] || IsSampledJob(job)
}

// admitted remembers that a job has a line of a message.
func (l *jobLimits) admitted(message, job string) {
	if job != "" && l.first[message] {
		slot, hash := l.slot(message, job)
		*slot = hash
	}
}

// lost counts a line that was admitted, but not written, if it was to be kept. Whether a line was the first of its job is no
// longer known then; it counts as one, and the next one of the job is kept.
func (l *jobLimits) lost(message, job string) {
	if job != "" && l.first[message] {
		if slot, hash := l.slot(message, job); *slot == hash {
			*slot = 0
		}
	}
	if l.isKept(message, job) {
		l.keptLost++
	}
}

// nextSecond begins another second. The reserve follows the lines that were to be kept in the last one.
func (l *jobLimits) nextSecond(consecutive bool) {
	l.reserve = minReserve
	if consecutive {
		l.reserve = max(minReserve, l.keptWanted*reservePercent/100)
	}
	l.lines, l.bytes, l.keptWanted = 0, 0, 0
}

// admits reports whether the limits of the current second, of which elapsed has passed, allow a line. Lines that need not be
// kept leave room for those that are to be kept in the rest of the second, so that the order of arrival does not matter.
// queued is how many lines wait for the output.
func (l *jobLimits) admits(kept bool, elapsed time.Duration, queued int) bool {
	lines, queue := logLinesPerSecond, logQueueCapacity
	if !kept {
		lines -= l.reserve * int((time.Second-elapsed)/time.Millisecond) / 1000
		queue -= queue * queueForKept / 100
	}
	return l.lines < lines && l.bytes < lines*(logBytesPerSecond/logLinesPerSecond) && queued < queue
}

// admitJob counts a line of a sink that keeps jobs, and reports whether it is to be written. A dropped line is counted by
// its message.
func (s *LogSink) admitJob(message, job string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.jobs
	now := time.Now()
	if second := now.Unix(); second != s.second {
		l.nextSecond(second == s.second+1)
		s.second = second
		clear(s.admitted)
	}
	kept := l.isKept(message, job)
	if kept {
		l.keptWanted++
	}
	admitted := l.admits(kept, time.Duration(now.Nanosecond()), len(s.lines))
	if !admitted && s.admitted[message] < reservedPerMessage {
		admitted = true
	}
	if !admitted {
		s.dropped[message]++
		if kept {
			l.keptLost++
		}
		return false
	}
	l.admitted(message, job)
	l.lines++
	s.admitted[message]++
	return true
}

// countBytes counts the bytes of a line towards the limit of the current second.
func (s *LogSink) countBytes(n int) {
	if !s.keepsJobs() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs.bytes += n
}

// KeptLost returns how many lines that were to be kept have been dropped since the last call.
func (s *LogSink) KeptLost() int64 {
	if !s.keepsJobs() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.jobs.keptLost
	s.jobs.keptLost = 0
	return lost
}
