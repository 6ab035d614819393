package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinstack.example/siskinstack/infra"
)

const (
	// maxClockDifference is assumed to exceed the difference between the clocks of two machines. A refused caller returns after twice
	// that time at the earliest.
	maxClockDifference = 500 * time.Millisecond
	// refusalPrefix marks the tombstone of a refused job. Unlike that of a cancelled job, the tombstone gives way to a
	// submission that begins later.
	refusalPrefix = "refused "
)

// attempt identifies one attempt to submit a job.
type attempt struct {
	beganUnixMs int64
	token       uint64
}

func newAttempt() attempt { return attempt{beganUnixMs: unixMs(), token: rand.Uint64()} }

func unixMs() int64 { return time.Now().UnixMilli() }

// refusalTombstone is the content of the tombstone of a refused job: when the job was first and last refused, and the token of
// the attempt that was refused last.
type refusalTombstone struct {
	firstUnixMs, lastUnixMs int64
	token                   uint64
}

func (r refusalTombstone) value() []byte {
	return fmt.Appendf(nil, refusalPrefix+"%d %d %x", r.firstUnixMs, r.lastUnixMs, r.token)
}

// parseRefusal returns the content of a tombstone, and false if it is that of a cancelled job.
func parseRefusal(tombstone infra.KeyValue) (refusalTombstone, bool) {
	var r refusalTombstone
	_, err := fmt.Sscanf(string(tombstone.Value), refusalPrefix+"%d %d %x", &r.firstUnixMs, &r.lastUnixMs, &r.token)
	return r, err == nil
}

// givesWayTo reports whether an attempt may write the job over the tombstone. An attempt that began before the last refusal may
// not: its caller has given it up, and was told that the job never runs. The attempt that wrote the tombstone itself goes on if
// it was not told that the tombstone is durable, and has then refused nothing.
func (r refusalTombstone) givesWayTo(a attempt) bool {
	return r.token == a.token || a.beganUnixMs-r.lastUnixMs >= maxClockDifference.Milliseconds()
}
