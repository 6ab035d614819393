// Package joblog assembles the trace of one job from the logs of many processes.
package joblog

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine is the longest log line that is read, in bytes. Longer ones are skipped.
const maxLine = 1 << 20

// hiddenFields are the fields of a line that a trace does not list among its values.
var hiddenFields = map[string]bool{"level": true, "ts": true, "msg": true, "machine": true, "job": true, "logger": true, "caller": true}

// Entry is one log line about a job.
type Entry struct {
	Time    time.Time
	Machine string
	Message string
	// Values are the other fields, as name=value.
	Values []string
}

// Read returns the lines about a job in the order of their timestamps. Lines may have a prefix before their JSON object;
// lines without a JSON object or a valid timestamp are skipped. Timestamps of different machines are only as accurate as
// their clocks.
func Read(job string, logs ...io.Reader) ([]Entry, error) {
	trace, err := ReadTrace(job, logs...)
	return trace.Entries, err
}

func parseLine(line []byte, job string) (Entry, bool) {
	begin := bytes.IndexByte(line, '{')
	if begin < 0 || !bytes.Contains(line, []byte(job)) {
		return Entry{}, false
	}
	var fields map[string]any
	if json.Unmarshal(line[begin:], &fields) != nil || fields["job"] != job {
		return Entry{}, false
	}
	entry := Entry{Machine: stringValue(fields["machine"]), Message: stringValue(fields["msg"])}
	when, err := time.Parse(time.RFC3339Nano, stringValue(fields["ts"]))
	if err != nil {
		return Entry{}, false
	}
	entry.Time = when
	for name, value := range fields {
		if !hiddenFields[name] {
			entry.Values = append(entry.Values, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.SortFunc(entry.Values, cmp.Compare[string])
	return entry, true
}

func stringValue(value any) string {
	s, _ := value.(string)
	return s
}

// Write prints the entries with the time since the first one. It marks lines whose order is uncertain.
func Write(out io.Writer, entries []Entry) error {
	anyUncertain := false
	for i, entry := range entries {
		mark := " "
		if isOrderUncertain(entries, i) {
			mark, anyUncertain = uncertainMark, true
		}
		since := entry.Time.Sub(entries[0].Time)
		_, err := fmt.Fprintf(out, "%10.3f s %s %-24s %-22s %s\n", since.Seconds(), mark, entry.Machine, entry.Message,
			strings.Join(entry.Values, " "))
		if err != nil {
			return eris.Wrap(err, "write trace")
		}
	}
	if !anyUncertain {
		return nil
	}
	_, err := fmt.Fprintf(out, "%s order uncertain: the clocks of this line's machine and the previous line's may differ by more than the time between the lines\n", uncertainMark)
	return eris.Wrap(err, "write trace")
}

const (
	// maxClockSkew is the assumed maximum difference between the clocks of two machines. They are synchronized with one
	// source, so the difference is usually smaller.
	maxClockSkew  = 50 * time.Millisecond
	uncertainMark = "~"
)

// isOrderUncertain reports whether an entry may have happened before the previous one: they are from different machines
// and less than maxClockSkew apart.
func isOrderUncertain(entries []Entry, i int) bool {
	return i > 0 && entries[i].Machine != entries[i-1].Machine && entries[i].Time.Sub(entries[i-1].Time) < maxClockSkew
}
