package capacity

import "fmt"

// Measured is the day on which all slopes were measured.
const Measured = "2026-12-02"

// Name names a slope.
type Name string

// The slopes.
const (
	LedgerTaskHeap     Name = "ledger.task-heap"
	LedgerLifeFew      Name = "ledger.life-5-a-commit"
	LedgerLifeMany     Name = "ledger.life-50-a-commit"
	LedgerLifeFewKept  Name = "ledger.life-5-a-commit-2400-kept"
	LedgerLifeManyKept Name = "ledger.life-50-a-commit-2400-kept"
	LedgerKeys         Name = "ledger.keys"
	LedgerLifeCPU      Name = "ledger.life-cpu"
	LedgerStored       Name = "ledger.stored"
	LedgerLoadCPU      Name = "ledger.load-cpu"

	CycleIdleCPU    Name = "scheduler.idle-cycle"
	CycleChangedCPU Name = "scheduler.changed-cycle"
	PlaceCPU        Name = "scheduler.start"

	SessionHeap  Name = "workersession.heap"
	SessionCPU   Name = "workersession.cpu"
	SessionBytes Name = "workersession.bytes"
	LifeBytes    Name = "workersession.life"

	ExchangeFraming Name = "grpc.framing"
	ExchangeCPU     Name = "grpc.cpu"

	MemberHeap       Name = "membership.member-heap"
	PeerBytes        Name = "membership.bytes"
	PeerBytesDemand  Name = "membership.bytes-120-services"
	PeerMessages     Name = "membership.messages"
	PeerCPU          Name = "membership.cpu"
	PeerCPUDemand    Name = "membership.cpu-120-services"
	AssignCPU        Name = "ownership.assign"
	LeaseCalls       Name = "ownership.lease-calls"
	TargetHeap       Name = "dissemination.target-heap"
	TargetBytes      Name = "dissemination.target-bytes"
	TargetScanCPU    Name = "dissemination.target-scan"
	ListPushCPU      Name = "dissemination.list-push"
	DivideCPU8       Name = "shares.divide-8"
	DivideCPU50      Name = "shares.divide-50"
	DivideCPU300     Name = "shares.divide-300"
	TrackerHeap      Name = "shares.tracker-heap"
	TrackerCPU       Name = "shares.tracker-cpu"
	BalancerHeap     Name = "routing.target-heap"
	EngineHeap       Name = "traffic.service-heap"
	EngineCPU        Name = "traffic.service-update"
	WorkloadHeap     Name = "config.workload-heap"
	WorkloadEncoded  Name = "config.workload-encoded"
	WorkloadStored   Name = "config.workload-stored"
	HeadBytes        Name = "config.head-bytes"
	AcceptCPU        Name = "config.accept"
	DecodeCPU        Name = "config.decode"
	DeltaCPU         Name = "config.delta-cpu"
	DeltaBytes       Name = "config.delta-bytes"
	ClaimHeap        Name = "dedup.record-heap"
	HomesCPU         Name = "dedup.homes"
	EventHeap        Name = "timeline.event-heap"
	VMHeap           Name = "vms.heap"
	VMBytes          Name = "vms.bytes"
	VMCPU            Name = "vms.cpu"
	VMTakeCPU        Name = "vms.take-cpu"
	VMKept           Name = "vms.kept"
	VMZipped         Name = "vms.zipped-bytes"
	UnchangedBytes   Name = "vms.unchanged-bytes"
	UnchangedCPU     Name = "vms.unchanged-cpu"
	RackStored       Name = "topology.rack-stored"
	RequestCPU       Name = "callerapi.request"
	DirectRequestCPU Name = "callerapi.direct-request"
	ProcessCPU       Name = "process.cpu"
	ProcessResident  Name = "process.resident"
	ProcessAnonymous Name = "process.anonymous"
)

// Slope is one measured figure.
type Slope struct {
	Name  Name
	Value float64
	Unit  string
	// Of says what the value is per.
	Of string
	// Package is the directory of the benchmark, Benchmark its name with that
	// of the sub-benchmark, and Metric the unit under which it reports.
	Package   string
	Benchmark string
	Metric    string
	// Times is the -benchtime of the run, and Load the machine's load of one
	// minute, on 12 processors, when it began.
	Times string
	Load  float64
}

// Command returns the command that measures the slope.
func (s Slope) Command() string {
	return fmt.Sprintf("go test ./%s -run '^$' -bench '^%s$' -cpu 1 -benchtime %s", s.Package, s.Benchmark, s.Times)
}

// Slopes returns all slopes, in the order of the page.
func Slopes() []Slope { return slopes }

// slope returns a slope's value; the names are the constants above.
func slope(n Name) float64 {
	for i := range slopes {
		if slopes[i].Name == n {
			return slopes[i].Value
		}
	}
	panic(&UnknownSlopeError{Name: n})
}

// UnknownSlopeError is a name without a slope: a mistake in this package, which
// its tests find.
type UnknownSlopeError struct{ Name Name }

// Error implements error.
func (e *UnknownSlopeError) Error() string { return "no slope named " + string(e.Name) }

// The benchmarks that give several slopes.
const (
	ledgerLife  = "BenchmarkCapacityLife"
	exchange    = "BenchmarkCapacityExchange/daemons=300/services="
	processName = "BenchmarkCapacityProcess"
	vmList      = "BenchmarkCapacityVMList"
)

var slopes = []Slope{
	{LedgerTaskHeap, 588.7, "B", "task in a loaded ledger", "core/ledger", "BenchmarkCapacityHeap", "heap-B/task", "200x", 13.2},
	{LedgerLifeFew, 808.1, "B", "task's life, 5 lives a commit", "core/ledger", ledgerLife + "/starts=5/kept=0", "value-B/life", "640x", 16.2},
	{LedgerLifeMany, 432.9, "B", "task's life, 50 lives a commit", "core/ledger", ledgerLife + "/starts=50/kept=0", "value-B/life", "640x", 16.2},
	{LedgerLifeFewKept, 2130, "B", "task's life, 5 lives a commit, 2,400 records of ended tasks kept", "core/ledger", ledgerLife + "/starts=5/kept=2400", "value-B/life", "200x", 13.2},
	{LedgerLifeManyKept, 782.1, "B", "task's life, 50 lives a commit, 2,400 records of ended tasks kept", "core/ledger", ledgerLife + "/starts=50/kept=2400", "value-B/life", "200x", 13.2},
	{LedgerKeys, 205.8, "B", "commit, keys of its conditions and changes", "core/ledger", ledgerLife + "/starts=5/kept=0", "key-B/commit", "200x", 13.2},
	{LedgerLifeCPU, 18_949, "ns", "task's life, 5 lives a commit", "core/ledger", ledgerLife + "/starts=5/kept=0", "cpu-ns/life", "200x", 13.2},
	{LedgerStored, 23_643, "B", "shard with 214 running tasks, as a new owner reads it", "core/ledger", "BenchmarkCapacityTakeover", "stored-B", "200x", 13.2},
	{LedgerLoadCPU, 251_495, "ns", "load of that shard", "core/ledger", "BenchmarkCapacityTakeover", "cpu-ns/load", "200x", 13.2},

	{CycleIdleCPU, 4_890, "ns", "scheduling cycle with nothing to do, 214 tasks", "core/scheduler", "BenchmarkCapacityCycle/idle", "cpu-ns/cycle", "100x", 13.8},
	{CycleChangedCPU, 480_400, "ns", "cycle after a change among 2,000 workloads", "core/scheduler", "BenchmarkCapacityCycle/changed", "cpu-ns/cycle", "100x", 13.8},
	{PlaceCPU, 24_410, "ns", "start decided, planned and proposed", "core/scheduler", "BenchmarkCapacityPlace", "cpu-ns/start", "100x", 13.8},

	{SessionHeap, 8_920, "B", "worker with 15 tasks", "core/workersession", "BenchmarkCapacitySessionHeap/tasks=15", "heap-B/session", "100x", 24.0},
	{SessionCPU, 8_316, "ns", "worker with 15 tasks and second", "core/workersession", "BenchmarkCapacitySecond/hash", "cpu-ns/worker-s", "100x", 24.0},
	{SessionBytes, 51.01, "B", "worker with 15 tasks and second, both directions", "core/workersession", "BenchmarkCapacitySecond/hash", "B/worker-s", "100x", 24.0},
	{LifeBytes, 297.9, "B", "task's life, both directions", "core/workersession", "BenchmarkCapacityLife", "B/life", "100x", 24.0},

	{ExchangeFraming, 173.4, "B", "gRPC call, framing and headers, both directions", "adapter/grpcworker", "BenchmarkWireBytes", "B/exchange", "500x", 22.1},
	{ExchangeCPU, 57_482, "ns", "gRPC call, both ends", "adapter/grpcworker", "BenchmarkWireBytes", "ns/op", "500x", 22.1},

	{MemberHeap, 2_138, "B", "other daemon", "core/dissemination", "BenchmarkCapacityMemberHeap", "heap-B/member", "100x", 13.8},
	{PeerBytes, 251.2, "B", "daemon and second, sent, nothing in flight", "core/dissemination", exchange + "0", "B/daemon-s", "20x", 21.2},
	{PeerBytesDemand, 6_614, "B", "daemon and second, sent, 120 services in flight", "core/dissemination", exchange + "120", "B/daemon-s", "5x", 17.7},
	{PeerMessages, 1.899, "", "daemon and second, sent", "core/dissemination", exchange + "0", "messages/daemon-s", "20x", 21.2},
	{PeerCPU, 43_158, "ns", "daemon and second, nothing in flight, virtual network included", "core/dissemination", exchange + "0", "cpu-ns/daemon-s", "20x", 21.2},
	{PeerCPUDemand, 311_135, "ns", "daemon and second, 120 services in flight, virtual network included", "core/dissemination", exchange + "120", "cpu-ns/daemon-s", "5x", 17.7},
	{AssignCPU, 4_065_730, "ns", "change of the members, 300 daemons, 220 shards", "core/ownership", "BenchmarkCapacityAssign/daemons=300", "cpu-ns/assign", "100x", 13.8},
	{LeaseCalls, 0.2941, "", "owning daemon and second, writes of the store", "core/ownership", "BenchmarkCapacityCalls/owned=1", "writes/s", "100x", 13.8},
	{TargetHeap, 263.9, "B", "target in the table", "core/dissemination", "BenchmarkCapacityTargetHeap", "heap-B/target", "100x", 13.8},
	{TargetBytes, 99.01, "B", "target in a list, encoded", "core/dissemination", "BenchmarkCapacityTargetHeap", "B/target", "100x", 13.8},
	{TargetScanCPU, 74.50, "ns", "target, one pass over the table", "core/dissemination", "BenchmarkCapacityTargetScan", "cpu-ns/target", "100x", 13.8},
	{ListPushCPU, 284_010, "ns", "push of a list of 118 targets taken in and sent on", "core/dissemination", "BenchmarkCapacityPush", "cpu-ns/push", "100x", 13.8},
	{DivideCPU8, 10_300, "ns", "division of 13 instances over 8 entries", "core/shares", "BenchmarkCapacityDivide/8x13", "cpu-ns/divide", "100x", 13.8},
	{DivideCPU50, 40_450, "ns", "division of 13 instances over 50 entries", "core/shares", "BenchmarkCapacityDivide/50x13", "cpu-ns/divide", "100x", 13.8},
	{DivideCPU300, 315_010, "ns", "division of 13 instances over 300 entries", "core/shares", "BenchmarkCapacityDivide/300x13", "cpu-ns/divide", "100x", 13.8},
	{TrackerHeap, 122.0, "B", "target of which the entry has a share", "core/shares", "BenchmarkCapacityTracker", "heap-B/target", "100x", 13.8},
	{TrackerCPU, 244.9, "ns", "target of which the entry has a share, one step", "core/shares", "BenchmarkCapacityTracker", "cpu-ns/target", "100x", 13.8},
	{BalancerHeap, 649.3, "B", "target of which the entry has a share", "core/routing", "BenchmarkCapacityTarget", "heap-B/target", "100x", 13.8},
	{EngineHeap, 9_142, "B", "declared service with one target", "capacity", "BenchmarkCapacityEngine", "heap-B/service", "30x", 13.9},
	{EngineCPU, 1_867, "ns", "service, one update of its targets", "capacity", "BenchmarkCapacityEngine", "cpu-ns/service", "30x", 13.9},
	{WorkloadHeap, 623.6, "B", "workload of a decoded configuration, varied", "core/config", "BenchmarkCapacityWorkloadHeap", "heap-B/workload", "100x", 8.6},
	{WorkloadEncoded, 379.3, "B", "workload in the configuration before compression, varied", "core/config", "BenchmarkCapacityStored/varied", "encoded-B/workload", "100x", 8.6},
	{WorkloadStored, 89.77, "B", "workload in the stored value, varied", "core/config", "BenchmarkCapacityStored/varied", "stored-B/workload", "100x", 8.6},
	{HeadBytes, 96, "B", "poll of the configuration's head, both directions, beside framing", "capacity", "BenchmarkCapacityHead", "B/poll", "100x", 8.6},
	{AcceptCPU, 17_791_190, "ns", "change accepted, encoded and compressed, 2,000 workloads, varied", "core/config", "BenchmarkCapacityChange/accept", "cpu-ns/op", "100x", 8.6},
	{DecodeCPU, 24_823_950, "ns", "stored value of 2,000 workloads decoded, varied", "core/config", "BenchmarkCapacityChange/decode", "cpu-ns/op", "100x", 8.6},
	{DeltaCPU, 1_228_800, "ns", "delta taken in, 2,000 workloads", "core/config", "BenchmarkCapacityChange/delta", "cpu-ns/op", "100x", 8.6},
	{DeltaBytes, 281.0, "B", "delta of one changed workload", "core/config", "BenchmarkCapacityChange/delta", "B/change", "100x", 8.6},
	{ClaimHeap, 130.1, "B", "remembered request id", "core/dedup", "BenchmarkClaim", "heap-B/record", "100000x", 21.5},
	{HomesCPU, 7_278, "ns", "choice of an id's homes among 300", "core/dedup", "BenchmarkHomesFor/members=300", "ns/op", "100000x", 21.5},
	{EventHeap, 181.0, "B", "event of the time line", "core/timeline", "BenchmarkCapacityEventHeap", "heap-B/event", "100x", 13.8},
	{VMHeap, 242.0, "B", "listed VM", "capacity", vmList, "heap-B/VM", "30x", 8.6},
	{VMBytes, 202.8, "B", "listed VM and whole read", "capacity", vmList, "B/VM", "30x", 8.6},
	{VMCPU, 4_379, "ns", "listed VM and whole read", "capacity", vmList, "cpu-ns/VM", "30x", 8.6},
	{VMTakeCPU, 147.5, "ns", "listed VM and read, put under its name", "capacity", vmList, "take-cpu-ns/VM", "30x", 8.6},
	{VMKept, 197.3, "B", "listed VM in the list kept for comparison", "capacity", vmList + "Read/unchanged", "kept-B/VM", "100x", 8.6},
	{VMZipped, 15.46, "B", "listed VM and whole read, by gzip, all headers included", "capacity", vmList + "Read/whole", "B/VM-read", "100x", 8.6},
	{UnchangedBytes, 294.0, "B", "read of an unchanged list, both directions, all headers included", "capacity", vmList + "Read/unchanged", "B/read", "100x", 8.6},
	{UnchangedCPU, 380_820, "ns", "read of an unchanged list of 3,500 VMs, both ends", "capacity", vmList + "Read/unchanged", "cpu-ns/read", "100x", 8.6},
	{RackStored, 27.42, "B", "rack in the topology", "capacity", "BenchmarkCapacityTopology", "stored-B/rack", "200x", 13.2},
	{RequestCPU, 75_130, "ns", "request through an entry, caller and target included", "adapter/callerapi", "BenchmarkThroughEntry/callers=32", "cpu-µs/op", "3000x", 21.5},
	{DirectRequestCPU, 28_200, "ns", "request sent directly, caller and target included", "adapter/callerapi", "BenchmarkDirect/callers=32", "cpu-µs/op", "3000x", 21.5},
	{ProcessCPU, 0.6571, "% of a core", "daemon, 7 of them, 50 workers, 255 tasks, no callers", "capacity", processName, "%core/daemon", "1x", 10.4},
	{ProcessResident, 27_245, "KB", "daemon, the same, all resident pages", "capacity", processName, "RSS-KB/daemon", "1x", 10.4},
	{ProcessAnonymous, 9_603, "KB", "daemon, the same, without pages of the program's file", "capacity", processName, "anonymous-KB/daemon", "1x", 10.4},
}
