// Package faultstore wraps a store and injects faults that a test sets call by call. It uses no goroutines, so that a
// test with a manually advanced clock is deterministic.
package faultstore

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/infra"
)

// ErrOutcomeUnknown is the error of a call whose outcome the caller cannot know.
var ErrOutcomeUnknown = eris.New("no response from the store")

// Fault is the fault injected into one call.
type Fault struct {
	// Drop loses the call before it reaches the store; the caller gets ErrOutcomeUnknown.
	Drop bool
	// LoseResponse lets the call take effect; the caller gets ErrOutcomeUnknown.
	LoseResponse bool
	// Delayed postpones the call until Deliver; the caller gets ErrOutcomeUnknown.
	Delayed bool
	// Duplicate sends the call twice; the caller gets the first response.
	Duplicate bool
	// Before and After are delays before and after the call takes effect.
	Before time.Duration
	After  time.Duration
}

// Store passes the calls of one caller to another store and injects faults into them.
type Store struct {
	inner infra.Store
	sleep func(time.Duration)

	mu          sync.Mutex // guards all fields below
	next        []Fault
	partitioned bool
	calls       int
	before      func(number int)
	delayed     []func() error
}

// New returns a store that passes calls to inner. sleep performs the delays.
func New(inner infra.Store, sleep func(time.Duration)) *Store {
	return &Store{inner: inner, sleep: sleep}
}

// InjectFaults appends faults for the next calls, one for each call.
func (s *Store) InjectFaults(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = append(s.next, faults...)
}

// Deliver lets the delayed calls take effect, in order.
func (s *Store) Deliver() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, send := range delayed {
		_ = send()
	}
}

func (s *Store) delayCall(send func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed = append(s.delayed, send)
}

// SetPartitioned drops every call while partitioned is true.
func (s *Store) SetPartitioned(partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = partitioned
}

// SetBefore sets a function that runs before every call with the number of the call, counted from 1.
func (s *Store) SetBefore(before func(number int)) {
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

func (s *Store) nextFault() (Fault, func(int), int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	var fault Fault
	if len(s.next) > 0 {
		fault, s.next = s.next[0], s.next[1:]
	}
	fault.Drop = fault.Drop || s.partitioned
	return fault, s.before, s.calls
}

// call makes one call and applies the next fault.
func (s *Store) call(send func() error) error {
	fault, before, number := s.nextFault()
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
		s.delayCall(send)
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
