package jsoncheck

import (
	"fmt"
	"strings"
)

// maxFindings bounds the number of findings, so that malicious input can't make a report large.
const maxFindings = 200

// Finding is one error in the input.
type Finding struct {
	// Path is the JSON path of the value, for example $.peers[2].address.
	Path    string
	Message string
}

// String returns the path and the message on one line.
func (f Finding) String() string { return f.Path + ": " + f.Message }

// Findings are the errors in one document, in the order of their detection.
type Findings []Finding

// Add appends a finding with a message formatted as by fmt.Sprintf. Findings beyond the limit are dropped.
func (f *Findings) Add(path, format string, args ...any) {
	switch {
	case len(*f) < maxFindings:
		*f = append(*f, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
	case len(*f) == maxFindings:
		*f = append(*f, Finding{Path: "$", Message: "further findings are omitted"})
	}
}

// Merge appends the findings of a further check, without those at or below a path that already has a finding. A field that
// could not be decoded would otherwise also be reported as missing.
func (f *Findings) Merge(further Findings) {
	earlier := *f
	for _, finding := range further {
		if !earlier.covers(finding.Path) {
			f.Add(finding.Path, "%s", finding.Message)
		}
	}
}

func (f Findings) covers(path string) bool {
	for _, finding := range f {
		rest, below := strings.CutPrefix(path, finding.Path)
		if below && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// Lines returns one line for each finding.
func (f Findings) Lines() []string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return lines
}

// Err returns all findings as one error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &Error{Findings: f}
}

// Error holds the findings of an invalid document.
type Error struct {
	Findings Findings
}

// Error returns all findings, separated by semicolons.
func (e *Error) Error() string { return strings.Join(e.Findings.Lines(), "; ") }

// Child returns the path of a field.
func Child(path, field string) string {
	if isPlainName(field) {
		return path + "." + field
	}
	return fmt.Sprintf("%s[%s]", path, shorten(field))
}

// Index returns the path of a list element.
func Index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

func isPlainName(name string) bool {
	if name == "" || len(name) > maxQuotedBytes {
		return false
	}
	for _, c := range name {
		letter := c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// maxQuotedBytes bounds the part of the input that a message quotes.
const maxQuotedBytes = 64

func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprintf("%q...", text[:maxQuotedBytes])
}
