package capacity

import "math"

// Times of the protocols that a failure waits for, in seconds; each is the
// daemon's default.
const (
	taskLease         = 30.0
	leaseMargin       = 3.0
	outageGrace       = 20.0
	daemonLease       = 10.0
	handoffsPerCommit = 100.0
	rampStart         = 0.25
	rampTime          = 30.0
	fanout            = 4.0
)

// Loss is what the end of some workers and entries at once brings about.
type Loss struct {
	Workers, Entries float64
	// Services and Batch are the tasks that move.
	Services, Batch float64
	// Orphans are the shards whose owner is lost.
	Orphans float64
	// Over is after how many seconds the tasks may start elsewhere.
	Over float64
	// Handoffs are the commits that give and take the tasks when no worker of
	// their shard is left, 0 when some are.
	Handoffs float64
	// PlaceCPU is the processor time, in seconds, of placing all of them.
	PlaceCPU float64
	// Lists are the shards whose lists of targets change, ListBytes what each
	// daemon receives for it, today, and ListBytesAfter with C1 and C4.
	Lists, ListBytes, ListBytesAfter float64
	// Stalls is the seconds that each daemon's control loop spends on members
	// that end, today.
	Stalls float64
}

// LoseWorkers returns what the end of n workers and a part of all entries
// brings about.
func LoseWorkers(s Size, n, entries float64) Loss {
	perWorker := 1 / float64(s.Workers)
	l := Loss{
		Workers: n, Entries: entries,
		Services: n * perWorker * float64(s.ServiceTasks), Batch: n * perWorker * float64(s.BatchTasks),
		Orphans: s.Owners() / float64(s.Entries) * entries * s.ShardsPerOwner(),
		Over:    taskLease + leaseMargin,
	}
	tasks := l.Services + l.Batch
	l.PlaceCPU = tasks * slope(PlaceCPU) * nanos
	l.Lists = math.Ceil(n / ShardWorkers)
	if n > ShardWorkers {
		// Whole shards: each gives its tasks away in commits of 100, and every
		// other shard takes some.
		l.Handoffs = math.Ceil(tasks/handoffsPerCommit) + s.Shards() - l.Lists
		l.Lists = s.Shards()
	}
	l.ListBytes = l.Lists * s.ListTargets() * slope(TargetBytes)
	l.ListBytesAfter = 2 * l.Services * slope(TargetBytes) * s.HeldServices() / float64(s.Services)
	// A member that ends is suspected and removed: two changes of the members.
	l.Stalls = 2 * entries * (slope(AssignCPU)*nanos + s.Stall())
	return l
}

// Stall is the seconds for which a change of the members holds up the control
// loop, today: the slots of all services are divided anew.
func (s Size) Stall() float64 {
	perService := DivideCPU(s.Entries) + slope(EngineCPU)
	scan := float64(s.ServiceTasks) * slope(TargetScanCPU)
	return nanos * (float64(s.Services)*perService + scan + s.EntryTargets()*slope(TrackerCPU))
}

// ListStall is the seconds for which a change of one service's targets holds up
// the control loop, today.
func (s Size) ListStall() float64 {
	scan := float64(s.ServiceTasks) * slope(TargetScanCPU)
	return nanos * (scan + DivideCPU(s.Entries) + slope(EngineCPU))
}

// EntryChanges is how often a second the entries change, each replaced one
// coming and going.
func (s Size) EntryChanges() float64 {
	entries := float64(s.Entries)
	return 2 * s.ReplacedPerDay * entries / (entries + float64(s.Workers)) / daySeconds
}

// Hops is how many pushes deep the tree of all daemons is.
func (s Size) Hops() float64 {
	return math.Ceil(math.Log(float64(s.Entries)*(fanout-1)+1)/math.Log(fanout)) - 1
}

// UrgentToday is the longest a start waits for busy control loops, from the
// acceptance to the command to the worker: at each hop of the push, at the tick
// that decides, and at the commit's answer; and once for a change of the
// members, which holds up all of them together.
func (s Size) UrgentToday() float64 { return s.Stall() + (s.Hops()+2)*s.ListStall() + 0.1 }

// ReturnSeconds is how long the owners need, after an outage in which all
// leases lapsed, for a grant and an acquisition each, while the writes ramp up.
func (s Size) ReturnSeconds() float64 {
	calls := s.Owners() + s.Shards()
	rate := LimitWrites * headroom
	start, slopeUp := rampStart*rate, (1-rampStart)*rate/rampTime
	return (math.Sqrt(start*start+2*slopeUp*calls) - start) / slopeUp
}

// TakenOver is the seconds after which a new owner of an unreachable worker may
// take its tasks to be over.
func TakenOver() float64 { return daemonLease + outageGrace + taskLease + leaseMargin }

// StoredLedgers is the bytes of all ledgers in the store.
func (s Size) StoredLedgers() float64 {
	records := s.Tasks() + s.KeptPerShard()*s.Shards()
	return records * slope(LedgerStored) / 214
}

// CrossRegion is the part of pairs of daemons chosen without regard to regions
// that are in two of them.
func (s Size) CrossRegion() float64 { return 1 - 1/float64(s.Regions) }

// FarClaims is the part of claims for which fewer than two of three homes are
// in the entry's own region.
func (s Size) FarClaims() float64 {
	near := 1 / float64(s.Regions)
	return 1 - near*near*(3-2*near)
}

// ClaimsAtHome is how many request ids one home has to remember.
func (s Size) ClaimsAtHome() float64 {
	return s.EntryRequests() * s.NonIdempotent * claimHomes * LimitDedupSpan
}

// RequestCores is the cores that an entry's requests take.
type RequestCores struct {
	// Requests is the requests' own time, Claims that of the calls to the homes
	// of their ids.
	Requests, Claims float64
}

func requestCores(s Size) RequestCores {
	own := slope(RequestCPU) - slope(DirectRequestCPU)
	claim := claimHomes*slope(ExchangeCPU) + slope(HomesCPU)
	return RequestCores{
		Requests: s.EntryRequests() * own * nanos,
		Claims:   s.EntryRequests() * s.NonIdempotent * claim * nanos,
	}
}

// StartBudget is the bytes of one start at its owner, at the peak.
type StartBudget struct {
	// Does is what it costs after the changes, May what it may cost then to
	// stay within the limit.
	Does, May float64
	// LifeNow and LifeAfter are the part of it that goes to the store.
	LifeNow, LifeAfter float64
}

func startBudget(s Size) StartBudget {
	now, _ := ledgerBytes(s.KeptPerShard())
	after, _ := ledgerBytes(0)
	does := after + slope(LifeBytes)
	starts := s.ShardsPerOwner() * s.ShardStarts()
	return StartBudget{
		Does: does, May: (LimitTraffic - (Traffic(s).After() - starts*does)) / starts,
		LifeNow: now, LifeAfter: after,
	}
}

// TrafficAtMean is the traffic after the changes at the mean rate of starts.
func (s Size) TrafficAtMean() float64 {
	does := startBudget(s).Does
	return Traffic(s).After() - s.ShardsPerOwner()*(s.ShardStarts()-s.StartsMean/s.Shards())*does
}
