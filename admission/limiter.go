// Package admission bounds the requests in flight through one entry VM, and sheds the least urgent ones first.
package admission

import (
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// Defaults for limits that the settings do not set. Those of a team and a service are below that of the VM, so that one
// team or one slow service cannot use the whole VM.
const (
	DefaultVM      = 4096
	DefaultTeam    = 2048
	DefaultService = 2048
)

// Percentage of each limit that an urgency class may use. The rest is reserved for more urgent requests.
const (
	canWaitPercent = 70
	normalPercent  = 90
	urgentPercent  = 100
)

// Retry-after times of refused requests. More urgent callers retry sooner, so that they get freed capacity first.
const (
	urgentRetryAfter  = 100 * time.Millisecond
	normalRetryAfter  = 500 * time.Millisecond
	canWaitRetryAfter = 2 * time.Second
)

// Limits are the largest numbers of requests in flight. Values that are not positive select the defaults.
type Limits struct {
	VM      int
	Team    int
	Service int
}

// Limiter bounds the requests in flight by VM, team and service.
type Limiter struct {
	limits Limits

	mu       sync.Mutex // guards all fields below
	total    int
	teams    map[string]int
	services map[string]int
}

// New returns a limiter with the given limits and no requests in flight.
func New(limits Limits) *Limiter {
	limits.VM = positiveOrDefault(limits.VM, DefaultVM)
	limits.Team = positiveOrDefault(limits.Team, DefaultTeam)
	limits.Service = positiveOrDefault(limits.Service, DefaultService)
	return &Limiter{limits: limits, teams: map[string]int{}, services: map[string]int{}}
}

func positiveOrDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

// Acquire admits a request or refuses it. A request with an empty service counts for the VM and the team only. The
// returned function must be called once, when the request has ended.
func (l *Limiter) Acquire(team, service string, urgency siskinv1.Urgency) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.total >= classLimit(l.limits.VM, urgency):
		return nil, newRefusal(refusal.Overloaded, urgency, "this VM has too many requests in flight")
	case l.teams[team] >= classLimit(l.limits.Team, urgency):
		return nil, newRefusal(refusal.TeamLimit, urgency, "the team has too many requests in flight")
	case service != "" && l.services[service] >= classLimit(l.limits.Service, urgency):
		return nil, newRefusal(refusal.Overloaded, urgency, "the service has too many requests in flight")
	}
	l.total++
	l.teams[team]++
	if service != "" {
		l.services[service]++
	}
	return func() { l.release(team, service) }, nil
}

func (l *Limiter) release(team, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	decrement(l.teams, team)
	if service != "" {
		decrement(l.services, service)
	}
}

// decrement lowers a count by one and removes it at zero, so that the maps hold only names with requests in flight.
func decrement(counts map[string]int, name string) {
	counts[name]--
	if counts[name] == 0 {
		delete(counts, name)
	}
}

// classLimit returns the part of limit that an urgency class may use, at least 1.
func classLimit(limit int, urgency siskinv1.Urgency) int {
	percent := normalPercent
	switch urgency {
	case siskinv1.Urgency_URGENCY_URGENT:
		percent = urgentPercent
	case siskinv1.Urgency_URGENCY_CAN_WAIT:
		percent = canWaitPercent
	}
	return max(1, limit*percent/100)
}

func newRefusal(reason refusal.Reason, urgency siskinv1.Urgency, message string) error {
	err := refusal.New(reason, "%s", message)
	err.RetryAfter = normalRetryAfter
	switch urgency {
	case siskinv1.Urgency_URGENCY_URGENT:
		err.RetryAfter = urgentRetryAfter
	case siskinv1.Urgency_URGENCY_CAN_WAIT:
		err.RetryAfter = canWaitRetryAfter
	}
	return err
}
