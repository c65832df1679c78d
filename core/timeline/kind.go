package timeline

// Kind says what an event tells.
type Kind string

// Events of a daemon's life.
const (
	DaemonStarted Kind = "daemon started"
	DaemonReady   Kind = "daemon ready"
	DaemonUnready Kind = "daemon unready"
	DrainStarted  Kind = "drain started"
	DrainEnded    Kind = "drain ended"
	DaemonStopped Kind = "daemon stopped"
)

// Events of membership.
const (
	MemberAlive   Kind = "member alive"
	MemberSuspect Kind = "member suspect"
	MemberDead    Kind = "member dead"
	MemberLeaving Kind = "member leaving"
	MemberRefuted Kind = "member refuted suspicion"
)

// Events of the platform's store.
const (
	StoreSilent      Kind = "store silent"
	StoreAnswering   Kind = "store answering"
	StoreWatchBroken Kind = "store watch broken"
	LeaseGranted     Kind = "lease granted"
	LeaseUnsure      Kind = "lease unsure"
	LeaseLost        Kind = "lease lost"
)

// Events of the configuration.
const (
	ConfigAccepted  Kind = "config accepted"
	ConfigRefused   Kind = "config refused"
	ConfigConflict  Kind = "config conflict"
	ConfigUnknown   Kind = "config outcome unknown"
	ConfigInstalled Kind = "config installed"
	ConfigMismatch  Kind = "config mismatch"
)

// Events of a shard's ownership and its ledger.
const (
	ShardAcquired    Kind = "shard acquired"
	ShardLost        Kind = "shard lost"
	ShardReleased    Kind = "shard released"
	LedgerLoaded     Kind = "ledger loaded"
	LedgerCommitted  Kind = "ledger committed"
	LedgerUnknown    Kind = "ledger commit unknown"
	LedgerResolved   Kind = "ledger commit resolved"
	LedgerStoodDown  Kind = "ledger stood down"
	TopologyExtended Kind = "topology extended"
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
	TaskResumed     Kind = "task resumed"
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
	WorkerRestarted   Kind = "worker restarted"
	WorkerLeaving     Kind = "worker leaving"
	WorkerGone        Kind = "worker gone"
	WorkerFenced      Kind = "worker refused epoch"
	WorkerQuarantined Kind = "worker quarantined"
	WorkerReleased    Kind = "worker released from quarantine"
)

// Events of a service's targets and its requests.
const (
	TargetAdded      Kind = "target added"
	TargetLeaving    Kind = "target leaving"
	TargetRemoved    Kind = "target removed"
	TargetProbation  Kind = "target on probation"
	TargetRestored   Kind = "target restored"
	ConnectionSilent Kind = "connection silent"
	ServiceShedding  Kind = "service shedding"
	ServiceServing   Kind = "service serving"
	RequestAnswered  Kind = "request answered"
	RequestNotRun    Kind = "request not run"
	RequestUnknown   Kind = "request fate unknown"
)
