package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobforecast"
	"github.com/guavarill/guavarill/core/jobmemory"
	"github.com/guavarill/guavarill/core/model"
)

// Effect is an output of the machine that the daemon has to carry out.
type Effect interface{ effect() }

// Order holds what all orders to a worker have in common.
type Order struct {
	Worker  model.Incarnation
	Address string
	Epoch   model.Epoch
}

// Renew renews the leases of all attempts on a worker and requests a report.
type Renew struct {
	Order
	// UntilMs is the lease's end on the worker's clock; 0 renews nothing.
	UntilMs int64
	// AckedEnds is the number of the last acknowledged end: the worker may forget
	// the ends up to it.
	AckedEnds int64
	// Wait is how long the worker may delay its answer while it has no new end to
	// report.
	Wait time.Duration
}

// Start starts an attempt.
type Start struct {
	Order
	Key        job.TaskKey
	Attempt    int
	Payload    string
	UntilMs    int64
	Checkpoint string
	Ticket     string
}

// Stop stops an attempt. If the attempt has not started yet, its start will be
// rejected from then on.
type Stop struct {
	Order
	Key     job.TaskKey
	Attempt int
}

// Throttle limits an attempt to a share of its full speed.
type Throttle struct {
	Order
	Key     job.TaskKey
	Attempt int
	Percent int
}

// Commit stores records. One commit is in flight at a time; Committed confirms it.
type Commit struct {
	Number uint64
	Puts   []ProgressRecord
	// RemoveAccepted lists jobs in a final state, whose accepted records are
	// removed.
	RemoveAccepted []job.ID
	// RemoveProgress lists jobs whose progress records have expired.
	RemoveProgress []job.ID
	Summary        Summary
	// Roster lists all workers on which attempts may be running; nil if unchanged.
	// A daemon that takes over must get an answer from each of them, or wait for
	// their leases to end, before it starts a task that may be running there. The
	// platform's list cannot replace the roster: it lacks workers that are
	// partitioned but still running, and for a while after an outage of the
	// platform's store it lacks many healthy ones.
	Roster []RosterEntry
	// RosterValid is whether the next leader may rely on the guarantees in the
	// stored roster. It is false until this term has stored a roster.
	RosterValid bool
	// RosterAge is how long before the commit the stored roster was written.
	RosterAge time.Duration
	// RosterLostLeft is how much longer, from the commit on, attempts may be
	// running on workers missing from the stored roster because an earlier roster
	// could not be read; 0 if none may.
	RosterLostLeft time.Duration
	// UnseenCrash is whether pending tasks may have run on a worker that ended
	// while no leader knew which attempts it ran.
	UnseenCrash bool
	// Learned holds the interference estimates; nil if they are not stored with
	// this commit. The next leader starts from them: learning them again takes ten
	// seconds, in which disturbing work is placed beside serving tasks.
	Learned []interference.Effect
}

// ProgressRecord is the progress record of one job.
type ProgressRecord struct {
	ID       job.ID
	Progress *job.Progress
}

// Summary is stored with every commit.
type Summary struct {
	// WrittenMs is the leader's time of day in milliseconds since 1970.
	WrittenMs int64 `json:"writtenMs"`
	// Waiting counts, by queue, the unscheduled jobs that have not started a task.
	Waiting map[string]int `json:"waiting,omitempty"`
	// Forecast tells the other daemons which jobs to reject; nil while all queues find
	// room.
	Forecast *jobforecast.Forecast `json:"forecast,omitempty"`
	// JobMemory tells them for which jobs there is memory.
	JobMemory jobmemory.Usage `json:"jobMemory,omitzero"`
}

// Note is a decision to be logged. The machine notes decisions that affect a job or
// change what it assumes about workers, and nothing else.
type Note struct {
	// Decision is a short text that identifies the kind of decision.
	Decision string
	Job      job.ID
	Task     string
	Attempt  int
	Worker   model.Incarnation
	// Reason holds the inputs of the decision and their age.
	Reason string
	// Lag is the time between the cause of the decision and the decision: since the
	// job or its cancellation was stored, or since the takeover. It is 0 where none
	// of these applies. It grows when the leader falls behind or its watch delivers
	// no events.
	Lag time.Duration
	// Routine is set for decisions that occur hundreds of times a second; their log
	// lines may be dropped under load.
	Routine bool
}

func (Renew) effect()    {}
func (Start) effect()    {}
func (Stop) effect()     {}
func (Throttle) effect() {}
func (Commit) effect()   {}
func (Note) effect()     {}

// Deposed reports that a worker has received orders of a later leader. The machine
// must not be used any longer.
type Deposed struct{ Worker model.Incarnation }

func (Deposed) effect() {}
