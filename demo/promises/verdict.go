package promises

import (
	"fmt"
	"time"
)

// ID names a promise.
type ID string

// The promises.
const (
	WorkerCapacity   ID = "room"
	SingleRun        ID = "single-run"
	Keys             ID = "keys"
	Ceiling          ID = "ceiling"
	DrainedZones     ID = "drain"
	Responses        ID = "answers"
	NotRun           ID = "not-run"
	AtMostOnce       ID = "at-most-once"
	LeavingEndpoints ID = "leaving"
	PlannedStops     ID = "graceful"
	Bundle           ID = "bundle"
	Accepted         ID = "accepted"
)

// Limits that the promises name as "a few seconds".
const (
	keyLimit     = 3 * time.Second
	drainLimit   = 3 * time.Second
	leavingLimit = 3 * time.Second
	bundleLimit  = 9 * time.Second
)

// maxViolations bounds the violations that a verdict lists.
const maxViolations = 5

// Verdict is the result of one check.
type Verdict struct {
	ID   ID   `json:"id"`
	Held bool `json:"held"`
	// Observations counts the events that could have broken the promise.
	Observations int    `json:"observations"`
	Detail       string `json:"detail"`
	// Violations lists the first violations.
	Violations []string `json:"violations,omitempty"`
	found      int
}

// Verified reports whether the promise held and there was something to see.
func (v Verdict) Verified() bool { return v.Held && v.Observations > 0 }

func (v *Verdict) violate(format string, args ...any) {
	v.found++
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

func (v *Verdict) close(detail string, args ...any) Verdict {
	v.Held = v.found == 0
	v.Detail = fmt.Sprintf(detail, args...)
	if !v.Held {
		v.Detail = fmt.Sprintf("%d violations; %s", v.found, v.Detail)
	}
	return *v
}

// Check checks all promises, in the order of the reference.
func Check(r Records) []Verdict {
	return []Verdict{
		checkRoom(r), checkSingleRun(r), checkKeys(r), checkCeiling(r), checkDrain(r), checkAnswers(r), checkNotRun(r),
		checkAtMostOnce(r), checkLeaving(r), checkGraceful(r), checkBundle(r), checkAccepted(r),
	}
}
