// Package retrybudget bounds retries to a fraction of the requests, so that retries cannot amplify an overload.
package retrybudget

import "sync"

// Defaults of the request path.
const (
	// DefaultRatio allows retries for one request in ten.
	DefaultRatio = 0.1
	// DefaultBurst allows a service with little traffic to retry at all, and bounds the tokens that accumulate
	// while nothing is retried.
	DefaultBurst = 10
)

// Budget is a token bucket to which requests add tokens and from which retries take them.
type Budget struct {
	ratio float64
	burst float64

	mu     sync.Mutex // guards tokens
	tokens float64
}

// New returns a full bucket of burst tokens to which each request adds ratio tokens.
func New(ratio float64, burst int) *Budget {
	return &Budget{ratio: ratio, burst: float64(burst), tokens: float64(burst)}
}

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Withdraw takes the token for one retry and reports whether one was available.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
