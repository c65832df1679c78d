package timeline

// Kind is the kind of an event.
type Kind string

// Events of a daemon's start, readiness and drain.
const (
	DaemonStarted Kind = "daemon started"
	DaemonReady   Kind = "daemon ready"
	DaemonUnready Kind = "daemon unready"
	DrainStarted  Kind = "drain started"
	DrainEnded    Kind = "drain ended"
)

// Events of membership.
const (
	MemberAlive   Kind = "member alive"
	MemberSuspect Kind = "member suspect"
	MemberDead    Kind = "member dead"
	MemberLeaving Kind = "member leaving"
)

// Events of the platform's store.
const (
	StoreSilent      Kind = "store silent"
	StoreAnswering   Kind = "store answering"
	StoreWatchBroken Kind = "store watch broken"
)

// Events of the configuration.
const (
	ConfigAccepted       Kind = "config accepted"
	ConfigRefused        Kind = "config refused"
	ConfigConflict       Kind = "config conflict"
	ConfigOutcomeUnknown Kind = "config outcome unknown"
	ConfigInstalled      Kind = "config installed"
	ConfigMismatch       Kind = "config mismatch"
)

// Events of a shard's ownership and its ledger.
const (
	ShardAcquired       Kind = "shard acquired"
	ShardLost           Kind = "shard lost"
	LedgerLoaded        Kind = "ledger loaded"
	LedgerCommitUnknown Kind = "ledger commit unknown"
	LedgerStoodDown     Kind = "ledger stood down"
	TopologyExtended    Kind = "topology extended"
)

// Events of a task.
const (
	TaskCreated     Kind = "task created"
	TaskAssigned    Kind = "task assigned"
	TaskRunning     Kind = "task running"
	TaskThrottled   Kind = "task throttled"
	TaskUnthrottled Kind = "task unthrottled"
	TaskStopping    Kind = "task stopping"
	TaskEvicted     Kind = "task evicted"
	TaskPreempted   Kind = "task preempted"
	TaskRetried     Kind = "task retried"
	TaskSucceeded   Kind = "task succeeded"
	TaskFailed      Kind = "task failed"
	TaskCancelled   Kind = "task cancelled"
	TaskMoved       Kind = "task moved"
	TaskReceived    Kind = "task received"
	TaskUnplaceable Kind = "task unplaceable"
	AttemptOver     Kind = "attempt over"
	PlanRejected    Kind = "plan rejected"
)

// Events of a worker.
const (
	WorkerReachable   Kind = "worker reachable"
	WorkerUnreachable Kind = "worker unreachable"
	WorkerLeaving     Kind = "worker leaving"
	WorkerGone        Kind = "worker gone"
	WorkerFenced      Kind = "worker refused epoch"
	WorkerQuarantined Kind = "worker quarantined"
	WorkerReleased    Kind = "worker released from quarantine"
	ZoneCordoned      Kind = "zone cordoned"
	CordonLifted      Kind = "cordon lifted"
)

// Events of a service's targets and requests. Daemons count requests and record no
// events for them; recorded sessions contain these events.
const (
	TargetAdded     Kind = "target added"
	TargetLeaving   Kind = "target leaving"
	TargetRemoved   Kind = "target removed"
	RequestAnswered Kind = "request answered"
	RequestNotRun   Kind = "request not run"
)
