package membership

import (
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Status is the liveness of a peer as observed by this VM.
type Status int

// Statuses of a peer. A peer is suspect before it is dead, and one that responds late is alive.
const (
	// Unheard means that nothing has been received from the peer since this process started.
	Unheard Status = iota
	Alive
	Suspect
	Dead
)

// String returns the name of the status.
func (s Status) String() string { return [...]string{"unheard", "alive", "suspect", "dead"}[s] }

// Peer is a configured entry VM.
type Peer struct {
	VM   string
	Zone string
}

// Member is what this VM knows of a peer.
type Member struct {
	Peer
	Status      Status
	Incarnation int64
	Leaving     bool
	// Slow means that the peer's responses take long; it does not lead to Dead.
	Slow           bool
	RoundTrip      time.Duration
	LastContact    time.Time
	ConfigRevision int64
	// ConfigAge is the age of the peer's configuration when it was reported.
	ConfigAge      time.Duration
	BundleVersion  int64
	StoreReachable bool
	// Confirmed is when the newest heartbeat that the peer responded to was sent.
	Confirmed time.Time
}

// Local is the state of this VM that heartbeats carry.
type Local struct {
	ConfigRevision int64
	ConfigAge      time.Duration
	BundleVersion  int64
	StoreReachable bool
	Leaving        bool
	Shards         []*siskinv1.ShardLoad
	Usage          []*siskinv1.TeamUsage
}

// Confirmation is what the other configured VMs reported about the configuration.
type Confirmation struct {
	// All is true if every other configured VM responded to a heartbeat sent at or after the requested time.
	All bool
	// Revision is the newest revision that any of them reported.
	Revision int64
	// VM is a VM that reported Revision, or "" if none reported one.
	VM string
}

// Load is the newest report of a shard.
type Load struct {
	VM string
	*siskinv1.ShardLoad
}

// peerState is the record of one peer.
type peerState struct {
	member   Member
	sequence int64 // of the newest heartbeat received from this incarnation
	// confirmedSent is when the newest heartbeat that the peer responded to was sent.
	confirmedSent time.Time
	// missedRounds counts rounds of this VM since the last message from the peer.
	missedRounds int
	shards       []*siskinv1.ShardLoad
	usage        map[usageKey]usageReport
}

type usageKey struct{ team, shard string }

type usageReport struct {
	*siskinv1.TeamUsage
	epoch    int64
	received time.Time
}

// mergeReports replaces the shard loads and adds the team usages, which arrive in rotation. It drops usages that are
// older than usageLifetime, and those of shards that the peer no longer reports or reports with another epoch.
func (p *peerState) mergeReports(request *siskinv1.HeartbeatRequest, now time.Time) {
	p.shards = request.GetShards()
	epochs := map[string]int64{}
	for _, shard := range p.shards {
		epochs[shard.GetShard()] = shard.GetEpoch()
	}
	if p.usage == nil {
		p.usage = map[usageKey]usageReport{}
	}
	for _, usage := range request.GetUsage() {
		key := usageKey{team: usage.GetTeam(), shard: usage.GetShard()}
		p.usage[key] = usageReport{TeamUsage: usage, epoch: epochs[usage.GetShard()], received: now}
	}
	for key, report := range p.usage {
		epoch, owned := epochs[key.shard]
		if !owned || report.epoch != epoch || now.Sub(report.received) > usageLifetime {
			delete(p.usage, key)
		}
	}
}
