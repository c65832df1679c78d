package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// Effect is something that the machine wants done.
type Effect interface{ effect() }

// Order is what every order to a worker carries.
type Order struct {
	Worker  model.Incarnation
	Address string
	Epoch   model.Epoch
}

// Renew renews the lease of all that runs on a worker and asks what does.
type Renew struct {
	Order
	// UntilMs is the lease's end on the worker's clock; 0 renews nothing.
	UntilMs int64
	// AckedEnds is the number of the last end that need not be kept.
	AckedEnds int64
	// Wait is how long the worker may wait for an end before it answers.
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

// Stop stops an attempt, and bars it where it has not begun.
type Stop struct {
	Order
	Key     job.TaskKey
	Attempt int
}

// Throttle bounds the share of its speed at which an attempt works.
type Throttle struct {
	Order
	Key     job.TaskKey
	Attempt int
	Percent int
}

// Commit stores records; one is in flight at a time. Committed answers it.
type Commit struct {
	Number uint64
	Puts   []ProgressRecord
	// RemoveAccepted lists jobs whose state is final.
	RemoveAccepted []job.ID
	// RemoveProgress lists jobs that need not be remembered any longer.
	RemoveProgress []job.ID
	Summary        Summary
	// Roster lists all workers on which attempts may run; nil when it has not
	// changed. A daemon that takes over must hear from each of them, or wait,
	// before it starts what may run there. The platform's list does not do: it
	// lacks workers that are cut off and run on, and for a while after an
	// outage of the platform's store many that are well.
	Roster []RosterEntry
	// RosterValid is whether the next leader may rely on what the stored roster
	// says of its workers. It is false until the term has stored a roster.
	RosterValid bool
	// RosterAge is how long before the commit the stored roster was written.
	RosterAge time.Duration
	// RosterLostLeft is how long, from the commit on, attempts may run on workers that
	// the stored roster lacks, because an earlier one could not be read; 0 if none may.
	RosterLostLeft time.Duration
	// UnseenCrash is whether tasks that wait may have been on a worker that ended
	// without a leader knowing what ran there.
	UnseenCrash bool
	// Learned is what is known of interference; nil when it is not to be stored
	// now. The next leader begins with it: to learn it anew takes ten seconds
	// in which disturbing work is put beside serving tasks.
	Learned []interference.Effect
}

// ProgressRecord is one job's record.
type ProgressRecord struct {
	ID       job.ID
	Progress *job.Progress
}

// Summary is stored with every commit.
type Summary struct {
	// WrittenMs is the leader's time of day in milliseconds since 1970.
	WrittenMs int64 `json:"writtenMs"`
	// Waiting counts, by queue, the jobs without a schedule of which no task
	// has started.
	Waiting map[string]int `json:"waiting,omitempty"`
}

// Note is a decision for the log. The machine notes what touches a job and what
// changes its beliefs, and nothing else.
type Note struct {
	// Decision is a short name, the same for each of its kind.
	Decision string
	Job      job.ID
	Task     string
	Attempt  int
	Worker   model.Incarnation
	// Reason holds the inputs that decided it, and how old they were.
	Reason string
	// Lag is how long what the decision follows from, a job or its cancel, had
	// been stored, or the take-over was ago; 0 where that does not apply. It grows
	// when the leader falls behind, or its watch is silent.
	Lag time.Duration
	// Routine is set for what happens hundreds of times a second; such lines
	// may be left out under load.
	Routine bool
}

func (Renew) effect()    {}
func (Start) effect()    {}
func (Stop) effect()     {}
func (Throttle) effect() {}
func (Commit) effect()   {}
func (Note) effect()     {}

// Deposed says that a worker has seen the orders of a later leader: the machine
// must not be used any longer.
type Deposed struct{ Worker model.Incarnation }

func (Deposed) effect() {}
