package ownership

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/clock"
)

// ErrExpired means that another VM may own the shard by now. The action was not performed.
var ErrExpired = eris.New("right to act for the shard has expired")

// Right is the time-limited permission to act for one shard. Its end is compared with the holder's monotonic clock, so
// a process that resumes after a pause sees that it has expired.
type Right struct {
	Shard string
	// Epoch is the store revision at which ownership began. Workers refuse lower epochs.
	Epoch int64

	clock clock.Clock
	mu    sync.Mutex // guards until and ended
	until time.Time
	ended bool
}

// NewRight returns a right that is valid until a time on c.
func NewRight(c clock.Clock, shard string, epoch int64, until time.Time) *Right {
	return &Right{Shard: shard, Epoch: epoch, clock: c, until: until}
}

// Check returns ErrExpired unless the right is valid now. It must be called immediately before each action for the
// shard.
func (r *Right) Check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.valid() {
		return ErrExpired
	}
	return nil
}

// Until returns the end of the right as known now.
func (r *Right) Until() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.until
}

// valid reports whether the right is valid now. The caller holds mu.
func (r *Right) valid() bool { return !r.ended && r.clock.Now().Before(r.until) }

// extend moves the end of the right to a later time, never to an earlier one, and reports whether the right is valid.
// An expired right stays expired: another VM may have owned the shard since, and may have given it up again.
func (r *Right) extend(until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.valid() {
		return false
	}
	if until.After(r.until) {
		r.until = until
	}
	return true
}

// end revokes the right permanently.
func (r *Right) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}
