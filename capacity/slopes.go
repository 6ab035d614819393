package capacity

// Line is a measured cost with a fixed part and a part for each unit.
type Line struct{ Base, Each float64 }

// At returns the cost for n units.
func (l Line) At(n float64) float64 { return l.Base + l.Each*n }

// Slopes are the measured costs. Times are in microseconds of processor time, sizes in bytes on the wire or in memory.
type Slopes struct {
	// Heartbeat is one heartbeat: request, response, and the time at both ends together.
	HeartbeatOut, HeartbeatIn, HeartbeatTime float64
	// RenewalIn and RenewalOut are by tasks of the worker, as the owner sees them.
	RenewalIn   Line
	RenewalOut  float64
	RenewalTime Line
	StartBytes  float64
	// StartEndTime is a start, its end, and their records.
	StartEndTime float64
	// OwnerIdle is an owner's time a second by workers, without renewals; OwnerTask that of a running task.
	OwnerIdle Line
	OwnerTask float64
	// OwnerHeap is the heap of an owner by running tasks; KeptHeap that of an ended task.
	OwnerHeap, KeptHeap float64
	// KeptOpen, KeptRead and KeptSnapshot are the time, the bytes read at a takeover and the snapshot of an ended task.
	KeptOpen, KeptRead, KeptSnapshot float64
	// KeptLock is the time for which a snapshot holds the owner's lock for an ended task.
	KeptLock float64
	// VMListBytes and VMListTime are one read of a changed list by VMs; VMListSameBytes and VMListSameTime one of a list
	// that has not changed.
	VMListBytes, VMListTime         Line
	VMListSameBytes, VMListSameTime float64
	// Config are the watch without changes a second, a change, and a key in memory.
	ConfigIdleBytes, ConfigIdleTime, ConfigChangeBytes, ConfigChangeTime, KeyHeap, KeyRelist float64
	// LoadQuestion is by requests in flight at the endpoint.
	LoadQuestion Line
	// Request costs are in addition to what caller and endpoint use.
	RequestLocal, RequestForward, RequestClaim float64
	// VMReads is the watches of one entry VM a second.
	VMReads float64
	// SaturatedReads is by shards, for one pair of team and shard whose team wants more than its ceiling.
	SaturatedReads Line
	// CommitSeconds is the shortest time between two commits of a shard; EntriesPerSnapshot is set by package shardlog.
	CommitSeconds, EntriesPerSnapshot, ChunkBytes float64
	// VMHeap is a whole idle entry VM with its part of the stand-in platform.
	VMHeap Line
}

// Measured returns the slopes of the runs that docs/CAPACITY.md lists.
func Measured() Slopes {
	return Slopes{
		HeartbeatOut: 505, HeartbeatIn: 105, HeartbeatTime: 467,
		RenewalIn: Line{221, 318}, RenewalOut: 236, RenewalTime: Line{150, 19.4}, StartBytes: 582,
		StartEndTime: 374, OwnerIdle: Line{10_500, 17.4}, OwnerTask: 2.8,
		OwnerHeap: 241, KeptHeap: 28, KeptOpen: 0.16, KeptRead: 4.4, KeptSnapshot: 3.3, KeptLock: 0.21,
		VMListBytes: Line{0, 4.1}, VMListTime: Line{0, 7.1}, VMListSameBytes: 318, VMListSameTime: 328,
		ConfigIdleBytes: 530, ConfigIdleTime: 1900, ConfigChangeBytes: 453, ConfigChangeTime: 2114, KeyHeap: 530, KeyRelist: 180,
		LoadQuestion: Line{227, 6.4}, RequestLocal: 116, RequestForward: 588, RequestClaim: 1380,
		VMReads: 1.92, SaturatedReads: Line{0.106, 0.0331},
		CommitSeconds: 0.070, EntriesPerSnapshot: 1024, ChunkBytes: 512 << 10,
		VMHeap: Line{1.7e6, 1750},
	}
}
