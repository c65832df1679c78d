package jobsched

// Policies are the decisions under load that a deployment switches on by its
// settings. Without any of them, jobs are served in the order of their urgency wherever
// there is room.
type Policies struct {
	// RejectHopeless is whether the leader publishes a forecast by which daemons reject
	// jobs that cannot be served while they are of use to their callers.
	RejectHopeless bool
	// ShareRoom is whether queues that want more than there is get shares of it, new
	// long-running tasks leave room for short urgent work, and room is reserved for short
	// tasks that are too large for the gaps between others.
	ShareRoom bool
	// WorkerSpeeds is whether the speed of each worker is learned and used to place and
	// move tasks.
	WorkerSpeeds bool
	// CopyStragglers is whether a second attempt is started of slow tasks of steps that
	// allow it.
	CopyStragglers bool
}
