package storeclient

import "time"

// Backoff yields exponentially growing waits with jitter, so that callers that failed together do not retry together.
type Backoff struct {
	minimum time.Duration
	maximum time.Duration
	random  func() float64
	current time.Duration
}

// NewBackoff returns a backoff whose bound grows from minimum to maximum. random returns numbers in [0, 1).
func NewBackoff(minimum, maximum time.Duration, random func() float64) *Backoff {
	return &Backoff{minimum: minimum, maximum: maximum, random: random, current: minimum}
}

// Next returns the next wait: between half and all of a bound that doubles with each call, up to the maximum.
func (b *Backoff) Next() time.Duration {
	wait := b.current/2 + time.Duration(b.random()*float64(b.current/2))
	b.current = min(2*b.current, b.maximum)
	return wait
}

// Reset sets the bound back to the minimum after a success.
func (b *Backoff) Reset() { b.current = b.minimum }
