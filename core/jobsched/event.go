package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workerentry"
)

// Event is an input of the machine.
type Event interface{ event() }

// ConfigChanged provides a newer version of the operator's configuration.
type ConfigChanged struct{ Config *job.Config }

// WorkersListed provides the platform's whole list of workers.
type WorkersListed struct {
	Workers []WorkerEntry
	// Unusable holds the entries that do not describe a usable worker.
	Unusable []workerentry.Unusable
	// RequestedAt is when the list was requested: it contains at least all that was
	// written before.
	RequestedAt time.Time
}

// WorkersDraining provides the entries of draining workers from a part of the platform's
// list, before the whole list is read.
type WorkersDraining struct{ Workers []WorkerEntry }

// WorkerEntry is a worker's entry in the platform's list.
type WorkerEntry struct {
	// Incarnation identifies the incarnation that wrote the entry. An entry without
	// a start time has the id alone.
	model.Incarnation
	// Machine is the persistent identity of the VM; empty if unknown.
	Machine  string
	Service  string
	Address  string
	Zone     model.Zone
	Rack     model.Rack
	Labels   []string
	Capacity model.Resources
	Draining bool
	// Remaining is the minimum time that a draining worker stays; 0 if unknown.
	Remaining time.Duration
}

// JobAccepted provides a job's accepted record after it was stored or changed.
type JobAccepted struct {
	ID     job.ID
	Record *job.Accepted
	// Revision is that of the record in the store, up to which all accepted jobs were
	// told; 0 if that is not known.
	Revision int64
}

// JobUnreadable reports a stored job whose record cannot be read.
type JobUnreadable struct{ ID job.ID }

// JobReread provides the records of an unreadable job once they can be read. Both
// are nil if they have been removed.
type JobReread struct {
	ID       job.ID
	Record   *job.Accepted
	Progress *job.Progress
}

// Verdict is the outcome of an order to a worker.
type Verdict int

// The verdicts. All but VerdictDone and VerdictUnknown mean that the order was not
// and will not be carried out.
const (
	// VerdictUnknown means that the answer was lost: the order may be carried out
	// now, or seconds later.
	VerdictUnknown Verdict = iota
	VerdictDone
	// VerdictNoRoom means that the task does not fit.
	VerdictNoRoom
	// VerdictSuperseded means that this attempt or a later one of the task has
	// already ended on the worker.
	VerdictSuperseded
	// VerdictExpired means that the lease in the order had expired.
	VerdictExpired
	// VerdictFenced means that the worker has seen a higher epoch.
	VerdictFenced
	VerdictNoTicket
	// VerdictUnhealthy means that the worker considers itself unhealthy.
	VerdictUnhealthy
	// VerdictOtherInstance means that another incarnation answered at the address.
	VerdictOtherInstance
	// VerdictInvalid means that the worker could not interpret the order.
	VerdictInvalid
	// VerdictUnreachable means that no connection could be made.
	VerdictUnreachable
	// VerdictNotSent means that the daemon did not send the order because it may no
	// longer be the leader.
	VerdictNotSent
	// VerdictOtherIncarnation means that the order was not sent because another
	// incarnation of its worker is there.
	VerdictOtherIncarnation
)

var verdictNames = [...]string{"unknown", "done", "no room", "superseded", "expired", "fenced",
	"no ticket", "unhealthy", "other instance", "invalid", "unreachable", "not sent", "other incarnation"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "invalid verdict"
	}
	return verdictNames[v]
}

// Renewed is the result of a Renew.
type Renewed struct {
	Worker  model.Incarnation
	SentAt  time.Time
	Verdict Verdict
	Report  Report
}

// Report is a worker's report of its attempts.
type Report struct {
	// ClockMs is the worker's monotonic clock when it answered, in milliseconds.
	ClockMs int64
	// StartedMs is the start time of the incarnation that answered, as in
	// model.Incarnation.
	StartedMs int64
	Running   []RunningAttempt
	// Ended is ordered by number.
	Ended []EndedAttempt
}

// RunningAttempt is a running attempt in a worker's report.
type RunningAttempt struct {
	Key        job.TaskKey
	Attempt    int
	Checkpoint string
	// Percent is how much of the work is done; for a long-running task, how far its
	// startup has got, and 100 once it is serving.
	Percent int
	// Reading covers the last half second: the tail latency in milliseconds for a
	// task with a latency target, else the processor use in thousandths of a core.
	// It is 0 if there is no reading.
	Reading int64
}

// EndCause is why an attempt ended.
type EndCause string

// The causes of an end.
const (
	EndDone EndCause = "done"
	// EndFailed is a failure caused by the task or by the worker.
	EndFailed  EndCause = "failed"
	EndStopped EndCause = "stopped"
	// EndExpired means that the lease was not renewed in time.
	EndExpired EndCause = "expired"
	// EndBroken means that another member of the gang ended.
	EndBroken EndCause = "gang broken"
	// EndIncomplete means that not all members of the gang were started in time.
	EndIncomplete EndCause = "gang incomplete"
	// endLost is never reported by a worker. The machine sets it when the worker is
	// gone, or when the lease ended while the worker was unreachable.
	endLost EndCause = "lost"
)

// EndedAttempt is the end of an attempt, kept by the worker until acknowledged.
type EndedAttempt struct {
	// Number counts the ends of one incarnation of the worker, from 1.
	Number     int64
	Key        job.TaskKey
	Attempt    int
	Cause      EndCause
	Checkpoint string
}

// AttemptName identifies an attempt in orders and their answers.
type AttemptName struct {
	Worker  model.Incarnation
	Key     job.TaskKey
	Attempt int
}

// Started is the result of a Start.
type Started struct {
	AttemptName
	Verdict Verdict
	// ClockMs is the worker's monotonic clock in milliseconds; 0 if not reported.
	ClockMs int64
}

// Stopped is the result of a Stop.
type Stopped struct {
	AttemptName
	Verdict Verdict
}

// Throttled is the result of a Throttle.
type Throttled struct {
	AttemptName
	Percent int
	Verdict Verdict
}

// Committed reports that a Commit has certainly been stored.
type Committed struct{ Number uint64 }

// CommitRefused reports that the store refuses a Commit for good, so that it was not
// and never will be stored.
type CommitRefused struct {
	Number uint64
	// Jobs, Roster and Learned name the entries that are larger than the store accepts.
	// If they name none, it is unknown which entry is at fault.
	Jobs            []job.ID
	Roster, Learned bool
	// Reason is why the store refuses it.
	Reason string
}

func (ConfigChanged) event()   {}
func (WorkersListed) event()   {}
func (WorkersDraining) event() {}
func (JobAccepted) event()     {}
func (JobUnreadable) event()   {}
func (JobReread) event()       {}
func (Renewed) event()         {}
func (Started) event()         {}
func (Stopped) event()         {}
func (Throttled) event()       {}
func (Committed) event()       {}
func (CommitRefused) event()   {}
