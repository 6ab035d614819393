package joblog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/telemetry"
)

const (
	// defaultDropInterval is the time that a record covers that does not state it.
	defaultDropInterval = 5 * time.Second
	// maxSilence is how far before or after the lines of a job another line of it may be missing.
	maxSilence = 5 * time.Second
)

// Drop is a record of the lines that one machine has dropped from its log.
type Drop struct {
	// Time is when the record was written. It covers the interval before.
	Time     time.Time
	Interval time.Duration
	Machine  string
	// Lines counts the dropped lines by message.
	Lines map[string]int64
	// KeepsJobs is true if the machine keeps the lines of sampled jobs; KeptLost is how many of the dropped lines were to be
	// kept.
	KeepsJobs bool
	KeptLost  int64
}

// Trace holds the lines about one job, and the records of lines dropped near them.
type Trace struct {
	Job     string
	Entries []Entry
	Drops   []Drop
}

// ReadTrace returns the trace of a job from the logs, as Read does.
func ReadTrace(job string, logs ...io.Reader) (Trace, error) {
	trace := Trace{Job: job}
	var drops []Drop
	for _, log := range logs {
		err := eachLine(log, func(line []byte) {
			if entry, ok := parseLine(line, job); ok {
				trace.Entries = append(trace.Entries, entry)
			} else if drop, ok := parseDrop(line); ok {
				drops = append(drops, drop)
			}
		})
		if err != nil {
			return Trace{}, eris.Wrap(err, "read log")
		}
	}
	slices.SortStableFunc(trace.Entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	for _, drop := range drops {
		if drop.isNear(trace.Entries) {
			trace.Drops = append(trace.Drops, drop)
		}
	}
	return trace, nil
}

// eachLine calls do with each line of at most maxLine bytes. The line is valid until do returns.
func eachLine(log io.Reader, do func(line []byte)) error {
	lines := bufio.NewReaderSize(log, maxLine)
	tooLong := false
	for {
		line, err := lines.ReadSlice('\n')
		isFull := errors.Is(err, bufio.ErrBufferFull)
		if !tooLong && !isFull {
			do(line)
		}
		tooLong = isFull
		switch {
		case err == nil || isFull:
		case errors.Is(err, io.EOF):
			return nil
		default:
			return err
		}
	}
}

func parseDrop(line []byte) (Drop, bool) {
	begin := bytes.IndexByte(line, '{')
	if begin < 0 || !bytes.Contains(line, []byte(telemetry.DropMessage)) {
		return Drop{}, false
	}
	var record struct {
		Msg        string           `json:"msg"`
		Time       time.Time        `json:"ts"`
		Machine    string           `json:"machine"`
		Lines      map[string]int64 `json:"lines"`
		IntervalMs int64            `json:"interval_ms"`
		KeptLost   *int64           `json:"kept_lost"`
	}
	if json.Unmarshal(line[begin:], &record) != nil || record.Msg != telemetry.DropMessage {
		return Drop{}, false
	}
	drop := Drop{Time: record.Time, Interval: time.Duration(record.IntervalMs) * time.Millisecond, Machine: record.Machine, Lines: record.Lines}
	if drop.Interval <= 0 {
		drop.Interval = defaultDropInterval
	}
	if record.KeptLost != nil {
		drop.KeepsJobs, drop.KeptLost = true, *record.KeptLost
	}
	return drop, true
}

// isNear reports whether a line that the record counts may belong to a job with these lines.
func (d Drop) isNear(entries []Entry) bool {
	if len(entries) == 0 {
		return false
	}
	first, last := entries[0].Time, entries[len(entries)-1].Time
	return d.Time.After(first.Add(-maxSilence)) && d.Time.Add(-d.Interval).Before(last.Add(maxSilence))
}

func (d Drop) total() int64 {
	total := int64(0)
	for _, n := range d.Lines {
		total += n
	}
	return total
}

// entry returns the record as a line of the trace.
func (d Drop) entry() Entry {
	values := []string{fmt.Sprintf("covers_ms=%d", d.Interval.Milliseconds())}
	for _, message := range slices.Sorted(maps.Keys(d.Lines)) {
		values = append(values, fmt.Sprintf("%q=%d", message, d.Lines[message]))
	}
	return Entry{Time: d.Time, Machine: d.Machine, Message: telemetry.DropMessage, Values: values}
}

// Write prints the trace with the records of dropped lines in their place, and what may be missing.
func (t Trace) Write(out io.Writer) error {
	lines := slices.Clone(t.Entries)
	for _, drop := range t.Drops {
		lines = append(lines, drop.entry())
	}
	slices.SortStableFunc(lines, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	if err := Write(out, lines); err != nil || len(t.Drops) == 0 {
		return err
	}
	_, err := fmt.Fprintln(out, t.missing())
	return eris.Wrap(err, "write trace")
}

// missing says which lines of the job may have been dropped.
func (t Trace) missing() string {
	keepsJobs, total, lost := true, int64(0), int64(0)
	for _, drop := range t.Drops {
		keepsJobs = keepsJobs && drop.KeepsJobs
		total += drop.total()
		lost += drop.KeptLost
	}
	text := fmt.Sprintf("%d lines of all jobs were left out within %d s of this job's lines; ", total, int(maxSilence.Seconds()))
	switch {
	case !keepsJobs:
		return text + "some may be this job's"
	case lost > 0:
		return text + fmt.Sprintf("%d of them were to be kept, and some may be this job's", lost)
	case telemetry.IsSampledJob(t.Job):
		return text + "none is this job's, which is in the sample"
	default:
		return text + "this job is not in the sample: it has its first wait, refusals, stops and end, and others may be missing"
	}
}
