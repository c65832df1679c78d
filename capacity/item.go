package capacity

// Role is who bears a cost.
type Role string

// The roles.
const (
	RoleEntry     Role = "entry"
	RoleScheduler Role = "scheduler"
	RoleMember    Role = "member"
	RoleProcess   Role = "process"
)

// Item is one cost of one daemon, in the unit of its table.
type Item struct {
	Role Role
	What string
	// How is the working out, in words.
	How string
	// Today is the cost with the code as it is, After with Change made.
	Today, After float64
	// Carrier is the package that carries the work.
	Carrier string
	// Change is what would bring the cost down; empty when After is Today.
	Change string
}

// Table is the costs of one daemon in one resource against its limit.
type Table struct {
	Title string
	Unit  string
	Limit float64
	Items []Item
}

// Today is the sum with the code as it is.
func (t Table) Today() float64 {
	sum := 0.0
	for _, i := range t.Items {
		sum += i.Today
	}
	return sum
}

// After is the sum with all changes made.
func (t Table) After() float64 {
	sum := 0.0
	for _, i := range t.Items {
		sum += i.After
	}
	return sum
}

// same returns an item that needs no change.
func same(role Role, what, how string, cost float64, carrier string) Item {
	return Item{Role: role, What: what, How: how, Today: cost, After: cost, Carrier: carrier}
}

const nanos = 1e-9

// CPU returns the processor time of a daemon that owns as many shards as any,
// at the peak, as parts of a core.
func CPU(s Size) Table {
	owned := s.ShardsPerOwner()
	starts := owned * s.ShardStarts()
	workers := owned * ShardWorkers
	held := s.HeldServices() / float64(s.Services)
	listed := float64(s.Listed())
	perWorkloads := s.Workloads() / 2000
	commits := owned * s.Commits()
	return Table{Title: "Processor time", Unit: "% of a core", Limit: 100 * LimitCPU, Items: percent([]Item{
		same(RoleProcess, "the process at rest", "`process.cpu`: ticks, timers, collector and calls of a daemon of seven", slope(ProcessCPU)/100, "`daemon`"),
		{
			Role: RoleEntry, What: "dividing slots: of one service when its targets change, of all when the entries do",
			How:     "list changes/s × (targets × `dissemination.target-scan` + `shares.divide` + `traffic.service-update`) + changes of entries/s × services × (`shares.divide` + `traffic.service-update`)",
			Today:   s.ListChanges()*s.ListStall() + s.EntryChanges()*s.Stall(),
			After:   nanos * s.ListChanges() * s.ListTargets() * held * (slope(DivideCPU50) + slope(EngineCPU)),
			Carrier: "`core/shares`, `daemon/tables.go`", Change: "C1",
		},
		{
			Role: RoleEntry, What: "looking for targets on leaving VMs",
			How:     "targets × `dissemination.target-scan` / time between reads of the list",
			Today:   nanos * float64(s.ServiceTasks) * slope(TargetScanCPU) / vmListEvery,
			After:   nanos * float64(s.ServiceTasks) * held * slope(TargetScanCPU) / vmListEvery,
			Carrier: "`daemon/tables.go`", Change: "C1",
		},
		{
			Role: RoleEntry, What: "lists of targets that change",
			How:   "list changes/s × `dissemination.list-push`",
			Today: nanos * s.ListChanges() * slope(ListPushCPU), After: nanos * s.ListChanges() * slope(ListPushCPU) * 2 / s.ListTargets(),
			Carrier: "`core/dissemination`", Change: "C4",
		},
		{
			Role: RoleProcess, What: "reading the list of VMs",
			How:   "(`vms.unchanged-cpu` + listed VMs × `vms.take-cpu`) / time between reads of the list + whole lists/s × listed VMs × `vms.cpu`",
			Today: nanos * ((slope(UnchangedCPU)+listed*slope(VMTakeCPU))/vmListEvery + s.WholeLists()*listed*slope(VMCPU)), After: nanos * 2 * s.ReplacedPerDay * slope(VMCPU) / daySeconds,
			Carrier: "`adapter/httpvms`, `daemon/platform.go`", Change: "C2",
		},
		same(RoleMember, "configuration", "changes/s × (`config.delta-cpu` + `config.decode` if it watches), by workloads",
			nanos*perWorkloads*s.ChangesPerDay/daySeconds*(slope(DeltaCPU)+slope(DecodeCPU)),
			"`core/config`, `daemon/configuration.go`"),
		{
			Role: RoleMember, What: "exchanges with other daemons",
			How:     "`membership.cpu` + services in flight here × 2.2 µs + messages × `grpc.cpu` / 2",
			Today:   nanos * (slope(PeerCPU) + perDemand(PeerCPUDemand, PeerCPU)*s.DemandServices() + slope(PeerMessages)*slope(ExchangeCPU)/2),
			After:   nanos * (slope(PeerCPU) + slope(PeerMessages)*slope(ExchangeCPU)/2),
			Carrier: "`core/membership`, `adapter/grpcpeer`", Change: "C6",
		},
		same(RoleScheduler, "workers' sessions", "workers × (`workersession.cpu` + `grpc.cpu` / 5 s)",
			nanos*workers*(slope(SessionCPU)+slope(ExchangeCPU)/renewEvery), "`core/workersession`, `adapter/grpcworker`"),
		same(RoleScheduler, "starts", "starts/s × (`scheduler.start` + `ledger.life-cpu`)",
			nanos*starts*(slope(PlaceCPU)+slope(LedgerLifeCPU)), "`core/scheduler`, `core/placement`, `core/ledger`"),
		same(RoleScheduler, "cycles and commits", "a cycle each 100 ms at most × `scheduler.idle-cycle`, a changed one per change of configuration, commits × `grpc.cpu`",
			nanos*(owned*slope(CycleIdleCPU)/cycleEvery+owned*s.ChangesPerDay/daySeconds*slope(CycleChangedCPU)+commits*slope(ExchangeCPU)),
			"`core/scheduler`, `adapter/etcdstore`"),
	})}
}

// perDemand is what one service in flight adds to the exchanges.
func perDemand(with, without Name) float64 {
	return (slope(with) - slope(without)) / demandMeasured
}

func percent(items []Item) []Item { return scaled(items, 100) }

func scaled(items []Item, by float64) []Item {
	for i := range items {
		items[i].Today *= by
		items[i].After *= by
	}
	return items
}

const mebibyte = 1 << 20

// Memory returns the resident memory of such a daemon, in MiB.
func Memory(s Size) Table {
	owned := s.ShardsPerOwner()
	held := s.HeldServices()
	today := Today()
	moreTargets := float64(s.ServiceTasks - today.ServiceTasks)
	return Table{Title: "Memory", Unit: "MiB", Limit: LimitMemory / mebibyte, Items: scaled([]Item{
		same(RoleProcess, "the process at today's size", "`process.resident`, of which `process.anonymous` is its own and the rest the program's file", slope(ProcessResident)*1024, "`cmd/guavarilld`"),
		{
			Role: RoleEntry, What: "all shards' targets",
			How:   "2 × targets × `dissemination.target-heap`",
			Today: collector * moreTargets * slope(TargetHeap), After: collector * held * s.Instances() * slope(TargetHeap),
			Carrier: "`core/dissemination`", Change: "C1",
		},
		{
			Role: RoleEntry, What: "services in the request engine",
			How:   "2 × services × `traffic.service-heap`",
			Today: collector * float64(s.Services-today.Services) * slope(EngineHeap), After: collector * held * slope(EngineHeap),
			Carrier: "`traffic`", Change: "C1",
		},
		{
			Role: RoleEntry, What: "own parts of instances",
			How:     "2 × own targets × (`routing.target-heap` + `shares.tracker-heap`)",
			Today:   collector * s.EntryTargets() * (slope(BalancerHeap) + slope(TrackerHeap)),
			After:   collector * held * s.Instances() * slots / subset * (slope(BalancerHeap) + slope(TrackerHeap)),
			Carrier: "`core/routing`, `core/shares`", Change: "C1",
		},
		{
			Role: RoleProcess, What: "the list of VMs",
			How:     "2 × VMs × (`vms.heap` + `vms.kept` + `vms.bytes` while a whole list is read)",
			Today:   collector * float64(s.Workers+s.Entries) * (slope(VMHeap) + slope(VMKept) + slope(VMBytes)),
			After:   collector * float64(s.Workers+s.Entries) * slope(VMHeap),
			Carrier: "`adapter/httpvms`", Change: "C2",
		},
		same(RoleMember, "configuration", "2 × workloads × (`config.workload-heap` + `config.workload-encoded` + `config.workload-stored`, the latter two while the value is read)",
			collector*s.Workloads()*(slope(WorkloadHeap)+slope(WorkloadEncoded)+slope(WorkloadStored)), "`core/config`"),
		same(RoleMember, "other daemons", "2 × daemons × `membership.member-heap`", collector*float64(s.Entries)*slope(MemberHeap), "`core/membership`"),
		{
			Role: RoleScheduler, What: "ledgers",
			How:     "2 × (running + kept records) × `ledger.task-heap`",
			Today:   collector * owned * (s.Tasks()/s.Shards() + s.KeptPerShard()) * slope(LedgerTaskHeap),
			After:   collector * owned * s.Tasks() / s.Shards() * slope(LedgerTaskHeap),
			Carrier: "`core/ledger`", Change: "C5",
		},
		same(RoleScheduler, "workers' sessions", "2 × workers × `workersession.heap`", collector*owned*ShardWorkers*slope(SessionHeap), "`core/workersession`"),
		{
			Role: RoleProcess, What: "the time line, full",
			How:   "2 × 20,000 × `timeline.event-heap`",
			Today: collector * timelineEvents * slope(EventHeap), After: collector * timelineEvents / 8 * slope(EventHeap),
			Carrier: "`core/timeline`", Change: "C8",
		},
	}, 1.0/mebibyte)}
}

// Traffic returns the bytes a second of such a daemon for control, sent and
// received, at the peak of starts.
func Traffic(s Size) Table {
	owned := s.ShardsPerOwner()
	workers := owned * ShardWorkers
	life, commit := ledgerBytes(s.KeptPerShard())
	plainLife, plainCommit := ledgerBytes(0)
	call := slope(ExchangeFraming)
	peers := slope(PeerBytes) + perDemand(PeerBytesDemand, PeerBytes)*s.DemandServices()
	racks := float64(s.Workers) / workersPerRack
	list := s.ListTargets() * slope(TargetBytes)
	return Table{Title: "Traffic for control", Unit: "B/s", Limit: LimitTraffic, Items: []Item{
		{
			Role: RoleProcess, What: "the list of VMs",
			How:   "`vms.unchanged-bytes` / time between reads of the list + whole lists/s × listed VMs × `vms.zipped-bytes`",
			Today: s.ListTraffic(), After: 2 * s.ReplacedPerDay * slope(VMBytes) * 2 / daySeconds,
			Carrier: "`adapter/httpvms`", Change: "C2",
		},
		same(RoleMember, "the stored configuration's head, polled", "(`grpc.framing` + `config.head-bytes`) / 30 s",
			(call+slope(HeadBytes))/configPollEvery, "`daemon/configuration.go`"),
		same(RoleMember, "changes of configuration", "changes/s × 2 × (`config.delta-bytes` + `grpc.framing` + `membership.bytes`)",
			s.ChangesPerDay/daySeconds*2*(slope(DeltaBytes)+call+slope(PeerBytes)), "`core/dissemination`"),
		{
			Role: RoleMember, What: "exchanges with other daemons",
			How:   "2 × (`membership.bytes` + services in flight here × 53 B) + messages × `grpc.framing`",
			Today: 2*peers + slope(PeerMessages)*call, After: 2*slope(PeerBytes) + slope(PeerMessages)*call,
			Carrier: "`core/membership`", Change: "C6",
		},
		{
			Role: RoleEntry, What: "lists of targets that change",
			How:   "list changes/s × 2 × targets of a shard × `dissemination.target-bytes`",
			Today: s.ListChanges() * 2 * list, After: s.ListChanges() * 2 * (2*slope(TargetBytes) + call),
			Carrier: "`core/dissemination`", Change: "C4",
		},
		{
			Role: RoleProcess, What: "the topology, polled",
			How:   "racks × `topology.rack-stored` / 15 s",
			Today: racks * slope(RackStored) / topologyEvery, After: call / topologyEvery,
			Carrier: "`core/topology`", Change: "C3",
		},
		same(RoleScheduler, "workers' sessions", "workers × (`workersession.bytes` + `grpc.framing` / 5 s)",
			workers*(slope(SessionBytes)+call/renewEvery), "`core/workersession`"),
		same(RoleScheduler, "starts, to and from workers", "starts/s × `workersession.life`", owned*s.ShardStarts()*slope(LifeBytes), "`core/workersession`"),
		{
			Role: RoleScheduler, What: "commits",
			How:     "starts/s × bytes of a life + commits/s × (bytes of a commit + `ledger.keys` + `grpc.framing`)",
			Today:   owned * (s.ShardStarts()*life + s.Commits()*(commit+slope(LedgerKeys)+call)),
			After:   owned * (s.ShardStarts()*plainLife + s.Commits()*(plainCommit+slope(LedgerKeys)+call)),
			Carrier: "`core/ledger`", Change: "C5",
		},
		same(RoleScheduler, "the daemon's lease", "`ownership.lease-calls` × `grpc.framing`", slope(LeaseCalls)*call, "`core/ownership`"),
	}}
}
