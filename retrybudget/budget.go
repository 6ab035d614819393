// Package retrybudget bounds retries to a share of the requests, so that retries cannot multiply an overload.
package retrybudget

import "sync"

// Defaults of the request path.
const (
	// DefaultRatio allows retries for one request in ten.
	DefaultRatio = 0.1
	// DefaultBurst lets a service with little traffic retry at all, and bounds what an idle time saves up.
	DefaultBurst = 10
)

// Budget is a token bucket that is filled by requests and emptied by retries.
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

// Withdraw takes the token of one retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
