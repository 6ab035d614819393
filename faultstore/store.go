// Package faultstore wraps a store with faults that a test orders call by call. It needs no goroutines, so that a test
// with a stepping clock is deterministic.
package faultstore

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/infra"
)

// ErrOutcomeUnknown is the error of a call whose outcome the caller cannot know.
var ErrOutcomeUnknown = eris.New("no answer from the store")

// Fault is what happens to one call.
type Fault struct {
	// Drop loses the call before it reaches the store; the caller gets ErrUnknown.
	Drop bool
	// LoseResponse lets the call take effect; the caller gets ErrUnknown.
	LoseResponse bool
	// Delayed keeps the call back until Deliver; the caller gets ErrUnknown.
	Delayed bool
	// Duplicate sends the call twice; the caller gets the first answer.
	Duplicate bool
	// Before and After are delays ahead of and behind the effect.
	Before time.Duration
	After  time.Duration
}

// Store is a store for one caller.
type Store struct {
	inner infra.Store
	sleep func(time.Duration)

	mu     sync.Mutex // guards all fields below
	next   []Fault
	cut    bool
	calls  int
	before func(call int)
	late   []func() error
}

// New returns a store that passes calls to inner. sleep performs the delays.
func New(inner infra.Store, sleep func(time.Duration)) *Store {
	return &Store{inner: inner, sleep: sleep}
}

// InjectFaults appends faults for the next calls, one each.
func (s *Store) InjectFaults(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = append(s.next, faults...)
}

// Deliver lets the calls that were kept back take effect, in order.
func (s *Store) Deliver() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, send := range late {
		_ = send()
	}
}

func (s *Store) keepBack(send func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = append(s.late, send)
}

// SetPartitioned drops every call while cut is true.
func (s *Store) SetPartitioned(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// SetBefore installs a function that runs ahead of every call, with the number of the call.
func (s *Store) SetBefore(before func(call int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = before
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) take() (Fault, func(int), int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	var fault Fault
	if len(s.next) > 0 {
		fault, s.next = s.next[0], s.next[1:]
	}
	fault.Drop = fault.Drop || s.cut
	return fault, s.before, s.calls
}

// do runs one call under the next fault.
func (s *Store) do(send func() error) error {
	fault, before, number := s.take()
	if before != nil {
		before(number)
	}
	if fault.Before > 0 {
		s.sleep(fault.Before)
	}
	if fault.Drop {
		return ErrOutcomeUnknown
	}
	if fault.Delayed {
		s.keepBack(send)
		return ErrOutcomeUnknown
	}
	err := send()
	if fault.Duplicate {
		_ = send()
	}
	if fault.After > 0 {
		s.sleep(fault.After)
	}
	if fault.LoseResponse {
		return ErrOutcomeUnknown
	}
	return err
}
