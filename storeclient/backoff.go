package storeclient

import "time"

// Backoff yields growing waits with jitter, so that callers that failed together do not return together.
type Backoff struct {
	minimum time.Duration
	maximum time.Duration
	random  func() float64
	current time.Duration
}

// NewBackoff returns a backoff between two bounds. random returns numbers in [0, 1).
func NewBackoff(minimum, maximum time.Duration, random func() float64) *Backoff {
	return &Backoff{minimum: minimum, maximum: maximum, random: random, current: minimum}
}

// Next returns the next wait: between half of and the whole of a bound that doubles with each call.
func (b *Backoff) Next() time.Duration {
	wait := b.current/2 + time.Duration(b.random()*float64(b.current/2))
	b.current = min(2*b.current, b.maximum)
	return wait
}

// Reset starts over after a success.
func (b *Backoff) Reset() { b.current = b.minimum }
