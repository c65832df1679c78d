package capacity

import "math"

// Size is a size of the fleet, with the numbers that the users' letters leave
// open and that are assumed here.
type Size struct {
	Workers, Entries, Zones, Regions int
	Services, ServiceTasks           int
	BatchTasks, Teams                int
	// StartsPeak is the most task starts a second, StartsMean their mean.
	StartsPeak, StartsMean float64
	JobsPerDay             float64
	ChangesPerDay          float64
	ReplacedPerDay         float64
	// JobHours is how long a job stays in the manifest, its tasks' records with
	// it.
	JobHours float64
	// RequestSeconds is a request's time at its target, SlotsBusy the part of
	// all slots in use, and NonIdempotent the part of requests that claim an id.
	RequestSeconds, SlotsBusy, NonIdempotent float64
}

// Today is the size of the deployment in use. Rates that are not known of it
// are assumed.
func Today() Size {
	return Size{
		Workers: 50, Entries: 7, Zones: 3, Regions: 1,
		Services: 4, ServiceTasks: 60, BatchTasks: 200, Teams: 4,
		StartsPeak: 1, StartsMean: 0.25, JobsPerDay: 200, ChangesPerDay: 10, ReplacedPerDay: 2, JobHours: 1,
		RequestSeconds: 0.05, SlotsBusy: 0.5, NonIdempotent: 0.1,
	}
}

// TwoYears is the size to which the design is to grow.
func TwoYears() Size {
	return Size{
		Workers: 3500, Entries: 300, Zones: 8, Regions: 3,
		Services: 2000, ServiceTasks: 26_000, BatchTasks: 21_000, Teams: 220,
		StartsPeak: 1200, StartsMean: 300, JobsPerDay: 59_000, ChangesPerDay: 3100, ReplacedPerDay: 400, JobHours: 1,
		RequestSeconds: 0.05, SlotsBusy: 0.5, NonIdempotent: 0.1,
	}
}

// The limits.
const (
	LimitCPU       = 0.019
	LimitMemory    = 32 << 20
	LimitTraffic   = 4 << 10
	LimitUrgent    = 2.7
	LimitConfig    = 6.0
	LimitWrites    = 300
	LimitReads     = 2000
	LimitValue     = 1 << 20
	LimitEncoded   = 3 << 20
	LimitClaims    = 200_000
	LimitDedupSpan = 600
)

// The settings that the figures depend on, each the daemon's default.
const (
	workersPerRack = 8
	racksPerShard  = 2
	slots          = 8
	// commitsShare is the part of --store-writes that commits may take in sum;
	// the ledgers' flush interval follows from it.
	commitsShare    = 0.5
	flushLeast      = 0.1
	cycleEvery      = 0.1
	vmListEvery     = 1.0
	vmListFullEvery = 300.0
	configPollEvery = 30.0
	topologyEvery   = 15.0
	inboxEvery      = 30.0
	tablesEvery     = 1.0
	renewEvery      = 5.0
	headroom        = 1.5
	timelineEvents  = 5_000
	configWatchers  = 2
	claimHomes      = 3
	daySeconds      = 86_400
	// collector is how much heap the garbage collector lets grow for each live
	// byte, that byte included.
	collector = 2
	// changesPerStart are those of a task's life that come one by one; its
	// creation and removal come with a change of configuration.
	changesPerStart = 3
	// listsPerVM is how many times the list of VMs changes when one is replaced:
	// listed as leaving, gone, and another one there.
	listsPerVM = 3
	// listsPerMove is how many lists change when an instance moves: marked as
	// leaving, gone, and back elsewhere.
	listsPerMove = 3
	// replacing is the part of configuration changes that replaces a service.
	replacing = 0.1
	// subset is how many entries a service's slots are to be divided over.
	subset = 24
	// demandMeasured is the number of services in flight in the benchmark.
	demandMeasured = 120
	// measuredKept is the number of kept records in the benchmark.
	measuredKept = 2400
)

// Shards is how many ledgers there are.
func (s Size) Shards() float64 { return math.Ceil(float64(s.Workers) / ShardWorkers) }

// ShardWorkers is how many workers share one ledger.
const ShardWorkers = workersPerRack * racksPerShard

// Instances is how many instances a service has.
func (s Size) Instances() float64 { return float64(s.ServiceTasks) / float64(s.Services) }

// Tasks is how many tasks run.
func (s Size) Tasks() float64 { return float64(s.ServiceTasks + s.BatchTasks) }

// Workloads is how many workloads the manifest holds.
func (s Size) Workloads() float64 { return float64(s.Services) + s.JobsPerDay*s.JobHours/24 }

// KeptPerShard is how many records of ended tasks a ledger holds: those of jobs
// still in the manifest, half of their time on average.
func (s Size) KeptPerShard() float64 { return s.StartsMean * s.JobHours * 3600 / 2 / s.Shards() }

// ShardStarts is the task starts a second of one shard at the peak.
func (s Size) ShardStarts() float64 { return s.StartsPeak / s.Shards() }

// WriteShare is how many writes a second the budget grants one daemon.
func (s Size) WriteShare() float64 { return LimitWrites * headroom / float64(s.Entries) }

// Flush is the least time between two commits of a shard, in seconds.
func (s Size) Flush() float64 {
	return math.Max(flushLeast, s.Shards()/(LimitWrites*commitsShare))
}

// Commits is the commits a second of one shard at the peak, by its starts.
func (s Size) Commits() float64 {
	return (1 - math.Exp(-s.ShardStarts()*changesPerStart*s.Flush())) / s.Flush()
}

// ShardsPerOwner is how many shards the daemon with most owns.
func (s Size) ShardsPerOwner() float64 { return math.Ceil(s.Shards() / float64(s.Entries)) }

// Owners is how many daemons own a shard.
func (s Size) Owners() float64 { return math.Min(s.Shards(), float64(s.Entries)) }

// WholeLists is how many times a second a daemon reads the whole list of VMs
// from a platform that answers conditional reads.
func (s Size) WholeLists() float64 {
	return s.ReplacedPerDay*listsPerVM/daySeconds + 1/vmListFullEvery
}

// Listed is how many VMs the platform's list holds.
func (s Size) Listed() int { return s.Workers + s.Entries }

// ListTraffic is the bytes a second for which a daemon reads that list.
func (s Size) ListTraffic() float64 {
	return slope(UnchangedBytes)/vmListEvery + s.WholeLists()*float64(s.Listed())*slope(VMZipped)
}

// Moves is how many service instances move a day: those of replaced VMs, and
// those of replaced declarations.
func (s Size) Moves() float64 {
	perWorker := float64(s.ServiceTasks) / float64(s.Workers)
	return s.ReplacedPerDay*perWorker + replacing*s.ChangesPerDay*s.Instances()
}

// ListChanges is how many shards' lists change a second, on average.
func (s Size) ListChanges() float64 { return s.Moves() * listsPerMove / daySeconds }

// ListTargets is how many targets a shard's list has.
func (s Size) ListTargets() float64 { return float64(s.ServiceTasks) / s.Shards() }

// Requests is the requests a second of all callers.
func (s Size) Requests() float64 {
	return float64(s.ServiceTasks) * slots * s.SlotsBusy / s.RequestSeconds
}

// EntryRequests is the requests a second of one entry.
func (s Size) EntryRequests() float64 { return s.Requests() / float64(s.Entries) }

// DemandServices is for how many services an entry has a request in flight,
// with arrivals that do not depend on each other.
func (s Size) DemandServices() float64 {
	inFlight := s.EntryRequests() * s.RequestSeconds / float64(s.Services)
	return float64(s.Services) * (1 - math.Exp(-inFlight))
}

// EntryTargets is of how many instances an entry has a part: at least one of
// each service.
func (s Size) EntryTargets() float64 {
	parts := math.Max(s.Instances()*slots, float64(s.Entries)) / float64(s.Entries)
	return float64(s.Services) * math.Min(parts, s.Instances())
}

// Oversent is how many times a service's slots are given out in sum.
func (s Size) Oversent() float64 {
	perInstance := s.Instances() * slots
	if perInstance >= float64(s.Entries) {
		return 1
	}
	return math.Ceil(slots*float64(s.Entries)/perInstance) / slots
}

// HeldServices is how many services an entry would hold if each were dealt to
// a subset of the entries.
func (s Size) HeldServices() float64 {
	return float64(s.Services) * math.Min(1, subset/float64(s.Entries))
}

// DivideCPU is the time in nanoseconds of dividing a service over n entries:
// that of the next larger number measured.
func DivideCPU(n int) float64 {
	switch {
	case n <= 8:
		return slope(DivideCPU8)
	case n <= 50:
		return slope(DivideCPU50)
	}
	return slope(DivideCPU300)
}

// ledgerBytes returns what a task's life and a commit write to the store when
// the ledger keeps records of ended tasks.
func ledgerBytes(kept float64) (life, commit float64) {
	few, many := slope(LedgerLifeFew), slope(LedgerLifeMany)
	fewKept, manyKept := slope(LedgerLifeFewKept), slope(LedgerLifeManyKept)
	part := math.Min(1, kept/measuredKept)
	few += part * (fewKept - few)
	many += part * (manyKept - many)
	// In both benchmarks a round of lives is five commits, so one commit a life
	// with 5 of them and a tenth with 50: two points of a line.
	commit = (few - many) / (1 - 0.1)
	return many - 0.1*commit, commit
}
