package capacity

// LinearCost is a measured cost with a fixed part and a part per unit.
type LinearCost struct{ Base, Each float64 }

// At returns the cost for n units.
func (l LinearCost) At(n float64) float64 { return l.Base + l.Each*n }

// Slopes are the measured unit costs. Times are in microseconds of processor time, sizes in bytes on the wire or in
// memory.
type Slopes struct {
	// HeartbeatOut, HeartbeatIn and HeartbeatTime are the request, the response and the total time at both ends of one
	// heartbeat.
	HeartbeatOut, HeartbeatIn, HeartbeatTime float64
	// RenewalIn and RenewalTime depend on the number of tasks of the worker; RenewalIn and RenewalOut are the bytes that
	// the owner receives and sends.
	RenewalIn   LinearCost
	RenewalOut  float64
	RenewalTime LinearCost
	// StartBytes is the size of the start of a task on the wire, in both directions.
	StartBytes float64
	// StartEndTime is the time for the start and the end of a task and their records.
	StartEndTime float64
	// OwnerIdle is an owner's time per second by workers, without renewals; OwnerTask that per running task.
	OwnerIdle LinearCost
	OwnerTask float64
	// OwnerHeap is an owner's heap per running task; KeptHeap that per ended task.
	OwnerHeap, KeptHeap float64
	// KeptOpen and KeptRead are the time and the bytes read at a takeover per ended task; KeptSnapshot is its size in the
	// snapshot.
	KeptOpen, KeptRead, KeptSnapshot float64
	// KeptLock is the time for which a snapshot holds the owner's lock per ended task.
	KeptLock float64
	// VMListBytes and VMListTime are the cost of one read of a changed list by VMs; VMListSameBytes and VMListSameTime that
	// of a list that has not changed.
	VMListBytes, VMListTime         LinearCost
	VMListSameBytes, VMListSameTime float64
	// ConfigIdleBytes and ConfigIdleTime are the cost per second of a watch without changes, ConfigChangeBytes and
	// ConfigChangeTime that of a change. KeyHeap and KeyRelist are the memory and the bytes of a relist per key.
	ConfigIdleBytes, ConfigIdleTime, ConfigChangeBytes, ConfigChangeTime, KeyHeap, KeyRelist float64
	// LoadQuery is the bytes of a load query by requests in flight at the endpoint.
	LoadQuery LinearCost
	// RequestLocal, RequestForward and RequestClaim are the times of a request in the zone of its entry VM, of one that is
	// forwarded, and of one with a claim. They exclude what the caller and the endpoint use.
	RequestLocal, RequestForward, RequestClaim float64
	// VMReads is the number of watch calls of one entry VM per second.
	VMReads float64
	// SaturatedReads is the reads per second by shards, for one pair of a team and a shard whose team demands more than its
	// ceiling.
	SaturatedReads LinearCost
	// CommitSeconds is the shortest time between two commits of a shard, as package owner sets it. EntriesPerSnapshot, the
	// log entries between two snapshots, and ChunkBytes, the largest size of a snapshot chunk, are set by package shardlog.
	CommitSeconds, EntriesPerSnapshot, ChunkBytes float64
	// VMHeap is the heap of an idle entry VM and its part of the stand-in platform, by workers.
	VMHeap LinearCost
}

// Measured returns the slopes from the runs listed in docs/CAPACITY.md.
func Measured() Slopes {
	return Slopes{
		HeartbeatOut: 505, HeartbeatIn: 105, HeartbeatTime: 467,
		RenewalIn: LinearCost{221, 318}, RenewalOut: 236, RenewalTime: LinearCost{150, 19.4}, StartBytes: 582,
		StartEndTime: 374, OwnerIdle: LinearCost{10_500, 17.4}, OwnerTask: 2.8,
		OwnerHeap: 241, KeptHeap: 28, KeptOpen: 0.16, KeptRead: 4.4, KeptSnapshot: 3.3, KeptLock: 0.21,
		VMListBytes: LinearCost{0, 4.1}, VMListTime: LinearCost{0, 7.1}, VMListSameBytes: 318, VMListSameTime: 328,
		ConfigIdleBytes: 530, ConfigIdleTime: 1900, ConfigChangeBytes: 453, ConfigChangeTime: 2114, KeyHeap: 530, KeyRelist: 180,
		LoadQuery: LinearCost{227, 6.4}, RequestLocal: 116, RequestForward: 588, RequestClaim: 1380,
		VMReads: 1.92, SaturatedReads: LinearCost{0.106, 0.0331},
		CommitSeconds: 0.070, EntriesPerSnapshot: 1024, ChunkBytes: 512 << 10,
		VMHeap: LinearCost{1.7e6, 1750},
	}
}
