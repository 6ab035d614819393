package promises

import (
	"fmt"
	"time"
)

// ID identifies a guarantee.
type ID string

// The guarantees.
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

// The time limits that the guarantees state as "a few seconds".
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
	// Observations counts the events that could have violated the guarantee.
	Observations int    `json:"observations"`
	Detail       string `json:"detail"`
	// Violations lists the first maxViolations violations.
	Violations []string `json:"violations,omitempty"`
	total      int
}

// Verified reports whether the guarantee held and was exercised.
func (v Verdict) Verified() bool { return v.Held && v.Observations > 0 }

func (v *Verdict) addViolation(format string, args ...any) {
	v.total++
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

func (v *Verdict) finish(detail string, args ...any) Verdict {
	v.Held = v.total == 0
	v.Detail = fmt.Sprintf(detail, args...)
	if !v.Held {
		v.Detail = fmt.Sprintf("%d violations; %s", v.total, v.Detail)
	}
	return *v
}

// Check checks all guarantees, in the order of their IDs above.
func Check(r Records) []Verdict {
	return []Verdict{
		checkWorkerCapacity(r), checkSingleRun(r), checkKeys(r), checkCeiling(r), checkDrain(r), checkResponses(r),
		checkNotRun(r), checkAtMostOnce(r), checkLeaving(r), checkPlannedStops(r), checkBundle(r), checkAccepted(r),
	}
}
