package capacity

// Budgets of section 1.7 of the design.
const (
	// NodeMillicores, NodeBytes (per second) and NodeMemory (bytes) bound the control overhead of a node.
	NodeMillicores = 32
	NodeBytes      = 9000
	NodeMemory     = 128e6
	// StoreWrites and StoreReads are the numbers of calls that the store serves per second.
	StoreWrites = 300
	StoreReads  = 2000
	// TakeoverSeconds, UrgentSeconds and ConfigSeconds are target times for a takeover, the start of an urgent task and a
	// configuration change.
	TakeoverSeconds = 5
	UrgentSeconds   = 1.9
	ConfigSeconds   = 9
)

const (
	daySeconds = 86_400
	// leaseSeconds is the time to live of a store lease; a shard without a VM in its own zone waits otherZoneSeconds more.
	leaseSeconds     = 3
	otherZoneSeconds = 1
	// storeWritesPerVM is the default write limit per second of package storeclient.
	storeWritesPerVM = 50
	// deletionFraction times the commit interval is the pause between two deletions of a shard.
	deletionFraction = 0.9
	// loadSeconds is the time between two load queries to an endpoint.
	loadSeconds = 1
	// configWatchSeconds is the wait of a watch plus the pause after it.
	configWatchSeconds = 0.62
	// leaseRenewalBytes is estimated from the idle renewal of a worker, which has the same framing.
	leaseRenewalBytes = 400
	// commitWaitSeconds is the 99th percentile of the wait for a commit at 1,600 records a second
	// (docs/policies/durability.md).
	commitWaitSeconds = 0.0743
	// passSeconds is the time between two scheduling passes; see planInterval in package owner.
	passSeconds = 0.010
	// heapFactor is the factor by which the garbage collector lets the heap grow by default.
	heapFactor = 2
)

// Figures returns all figures of a fleet, always in the same order.
func Figures(size Size, s Slopes) []Figure {
	var all []Figure
	all = append(all, workerFigures(size, s)...)
	all = append(all, endpointFigures(size, s)...)
	all = append(all, memberFigures(size, s)...)
	all = append(all, vmListFigures(size, s)...)
	all = append(all, shardOwnerFigures(size, s)...)
	all = append(all, takeoverFigures(size, s)...)
	all = append(all, requestPathFigures(size, s)...)
	return append(all, storeFigures(size, s)...)
}

func workerFigures(size Size, s Slopes) []Figure {
	const role = "worker"
	tasks := size.RunningTasks / size.Workers
	starts := size.Starts / size.Workers
	each := s.RenewalIn.At(tasks) + s.RenewalOut
	return []Figure{
		{role, "calls", 1/size.renewSeconds() + starts, "/s", 0, true, "Renew, Start (owner)"},
		{role, "bytes, both ways", each/size.renewSeconds() + starts*s.StartBytes, "B/s", NodeBytes, true, "Renew reports every task (owner, standin/httpclient)"},
		{role, "renewal interval, bound of an end's delay", size.renewSeconds(), "s", 0, true, "renewInterval (owner)"},
	}
}

func endpointFigures(size Size, s Slopes) []Figure {
	const role = "endpoint"
	// Entry VMs query only the endpoints of their zone.
	queriers := size.EntryVMs / size.Zones
	return []Figure{
		{role, "load questions", queriers / loadSeconds, "/s", 0, true, "RefreshLoad (router)"},
		{role, "bytes, both ways", queriers * s.LoadQuery.At(size.Slots) / loadSeconds, "B/s", NodeBytes, true, "RefreshLoad (router)"},
	}
}

func memberFigures(size Size, s Slopes) []Figure {
	const role = "entry VM, member and follower"
	peers := size.EntryVMs - 1
	changes := size.ConfigChanges / daySeconds
	heartbeats := 2 * peers * (s.HeartbeatOut + s.HeartbeatIn)
	bytes := heartbeats + s.ConfigIdleBytes + changes*s.ConfigChangeBytes + leaseRenewalBytes
	time := peers*s.HeartbeatTime + s.ConfigIdleTime + changes*s.ConfigChangeTime
	return []Figure{
		{role, "heartbeats sent and received", 2 * peers, "/s", 0, true, "Heartbeat (membership)"},
		{role, "bytes without the VM list", bytes, "B/s", NodeBytes, true, "Heartbeat (membership), watch (configview), lease (ownership)"},
		{role, "processor without the VM list", time / 1000, "mcore", NodeMillicores, true, "membership, configview"},
		{role, "memory of the keys", size.Keys * s.KeyHeap, "B", NodeMemory, true, "entries of View (configview)"},
		{role, "a relist", size.Keys * s.KeyRelist, "B", 0, true, "list after a gap (configview)"},
		{role, "a change in force", configWatchSeconds, "s", ConfigSeconds, true, "watch (configview)"},
	}
}

func vmListFigures(size Size, s Slopes) []Figure {
	const role = "entry VM, VM list"
	vms := size.Workers + size.Endpoints + size.EntryVMs
	// A VM that fails or is replaced changes the list twice: when it is removed and when it is added.
	changes := 2 * size.VMChanges / daySeconds
	return []Figure{
		{role, "bytes", s.VMListSameBytes + changes*s.VMListBytes.At(vms), "B/s", NodeBytes, true, "a question every second, the list after a change (fleet)"},
		{role, "processor", (s.VMListSameTime + changes*s.VMListTime.At(vms)) / 1000, "mcore", NodeMillicores, true, "JSON of the list (standin/httpclient)"},
	}
}

func shardOwnerFigures(size Size, s Slopes) []Figure {
	const role = "entry VM, owner of one shard"
	workers, tasks := size.Workers/size.Shards(), size.RunningTasks/size.Shards()
	renewals, starts := workers/size.renewSeconds(), size.Starts/size.Shards()
	steady := s.OwnerIdle.At(workers) + s.OwnerTask*tasks + renewals*s.RenewalTime.At(tasks/workers)
	peak := starts * s.StartEndTime
	bytes := renewals*(s.RenewalIn.At(tasks/workers)+s.RenewalOut) + starts*s.StartBytes
	lock := size.KeptPerShard() * s.KeptLock / 1e6
	heap := s.VMHeap.At(size.Workers) + s.OwnerHeap*tasks + s.KeptHeap*size.KeptPerShard()
	return []Figure{
		{role, "renewals", renewals, "/s", 0, false, "renewDue (owner)"},
		{role, "bytes with workers", bytes, "B/s", 0, false, "Renew, Start (owner)"},
		{role, "processor, steady", steady / 1000, "mcore", 0, false, "renewals, passes, refresh (owner)"},
		{role, "processor, peak of starts", (steady + peak) / 1000, "mcore", 1000, false, "the same, starts and ends (owner, scheduler)"},
		{role, "memory of the whole VM, twice its heap", heapFactor * heap, "B", NodeMemory, false, "state and cell (owner, scheduler)"},
		{role, "lock held by a snapshot", lock, "s", 0, false, "records of every kept task (owner)"},
		{role, "urgent start with free room, owner's part", commitWaitSeconds + passSeconds + lock, "s", UrgentSeconds, false, "commit (shardlog), pass and snapshot (owner)"},
		{role, "room idle for ended tasks, part", starts * size.renewSeconds() / 2 / tasks, "", 0, false, "ends are seen at the next renewal (owner)"},
	}
}

func takeoverFigures(size Size, s Slopes) []Figure {
	const role = "entry VM, takeover"
	kept := size.KeptPerShard()
	open := kept * s.KeptOpen / 1e6
	return []Figure{
		{role, "ended tasks kept", kept, "", 0, false, "jobRetention of a day (owner)"},
		{role, "bytes read", kept * s.KeptRead, "B", 0, false, "one value list of the log (shardlog)"},
		{role, "replay", open, "s", 0, false, "Open (shardlog, owner)"},
		{role, "takeover within the zone", leaseSeconds + open, "s", TakeoverSeconds, false, "lease TTL (ownership), Open"},
		{role, "takeover by another zone", leaseSeconds + otherZoneSeconds + open, "s", TakeoverSeconds, false, "the same and otherZoneDelay (ownership)"},
	}
}

func requestPathFigures(size Size, s Slopes) []Figure {
	const role = "entry VMs, request path"
	each := s.RequestLocal + size.Forwarded*(s.RequestForward-s.RequestLocal) + size.Claimed*(s.RequestClaim-s.RequestLocal)
	total := size.Requests * each / 1000
	return []Figure{
		{role, "processor for a request", each, "µs", 0, false, "entry, router, peer, claim"},
		{role, "processor on each entry VM", total / size.EntryVMs, "mcore", 1000, false, "the same"},
	}
}

func storeFigures(size Size, s Slopes) []Figure {
	const role = "store"
	commits := min(size.Starts, size.Shards()/s.CommitSeconds)
	submissions := size.Starts / size.TasksPerJob
	pairs := size.Teams * size.Shards()
	leases := size.EntryVMs
	chunks := max(1, size.KeptPerShard()*s.KeptSnapshot/s.ChunkBytes)
	snapshots := commits / s.EntriesPerSnapshot * (2*chunks + 1)
	changes := size.ConfigChanges / daySeconds
	allowances := min(submissions, pairs)
	mean := leases + 2*commits + snapshots + allowances + changes
	deleting := leases + commits + size.Shards()/(deletionFraction*s.CommitSeconds) + allowances + changes
	chunkBurst := leases + commits + size.Shards()*min(2*chunks, storeWritesPerVM-commits/size.Shards())
	return []Figure{
		{role, "commits", commits, "/s", 0, false, "group commit (shardlog)"},
		{role, "deletions, mean", commits, "/s", 0, false, "after snapshots (shardlog)"},
		{role, "snapshot chunks, manifests and their deletions", snapshots, "/s", 0, false, "a whole snapshot every 1,024 entries (shardlog)"},
		{role, "allowances, one raise for a submission", allowances, "/s", 0, false, "Raise (allowance)"},
		{role, "allowances, every team grows everywhere", pairs, "/s", StoreWrites, false, "one write a second for a team and shard (allowance)"},
		{role, "writes, mean at the peak", mean, "/s", StoreWrites, false, "all of the above and leases"},
		{role, "writes while all shards delete entries", deleting, "/s", StoreWrites, false, "deletionPause (shardlog)"},
		{role, "writes while all shards write chunks", chunkBurst, "/s", StoreWrites, false, "chunks up to the limit of each VM (shardlog, storeclient)"},
		{role, "reads, watches", size.EntryVMs * s.VMReads, "/s", StoreReads, false, "two watches for each entry VM (configview, ownership)"},
		{role, "reads, every team above its ceiling", size.EntryVMs*s.VMReads + pairs*s.SaturatedReads.At(size.Shards()), "/s", StoreReads, false, "reads of the split (allowance)"},
		{role, "open watches", 2 * size.EntryVMs, "", 0, false, "configview, ownership"},
		{role, "snapshot of a shard", size.KeptPerShard() * s.KeptSnapshot, "B", 0, false, "ranges of ended tasks (owner)"},
	}
}
