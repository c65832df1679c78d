package jobservice

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// Options are what a Leader works with.
type Options struct {
	// Daemon is the name of the VM, the same over restarts; Incarnation that of
	// the process.
	Daemon, Incarnation string
	// Address is where the daemon serves its peers; empty if nowhere.
	Address string
	// FailureDetector may be nil: then a leader is gone when its lease has ended.
	FailureDetector FailureDetector
	// Processors is how many cores the daemon has. One with more of them is
	// faster to take a lead that is free.
	Processors float64
	Store      port.Store
	Workers    port.TaskWorkers
	List       port.WorkerList
	// Relays may be nil: the leader sends its orders itself then.
	Relays  RelaySetter
	Advisor port.Advisor
	Config  port.ConfigFeed
	Clock   Clock
	Log     *logrus.Logger
	Metrics *Metrics
	// LeaderTTL is the length of the leader's lease in the store: how long the
	// others wait for one that has gone, and how long it may go on without the
	// store.
	LeaderTTL time.Duration
	// DrainTime is how long after a worker said that it leaves it may still be
	// given tasks; 0 if not known.
	DrainTime time.Duration
	Machine   jobsched.Options
}

const (
	// leaseCallTimeout bounds a call for the leader's lease, well within the
	// lease and beyond the answers of a slow store.
	leaseCallTimeout = 700 * time.Millisecond
	// renewalsPerLease is how often the leader's lease is renewed in its time;
	// a renewal costs a tenth of a read.
	renewalsPerLease = 5
	// leaseMargin ends the leader's right before the store does: clocks differ
	// by at most 2%, and an order needs a moment to be sent.
	leaseMargin = 100 * time.Millisecond
	// listInterval is the time between two reads of the platform's list of
	// workers. A leaving worker must get no task two seconds after it said so.
	// By default; where workers stay longer it is a part of that time, since the
	// whole list is read: 1,100 entries are 0.6 MB and 10 ms of a core.
	listInterval = 500 * time.Millisecond
	// leaderPoll is how often a daemon that follows reads the leader's key
	// itself: a watch may stay silent when the key is taken away.
	leaderPoll = 2 * time.Second
	// campaignPause is the time between two tries to lead.
	campaignPause = 100 * time.Millisecond
	// campaignDelay is how long a daemon with one core waits before it takes a
	// lead that is free; with less it waits longer, up to campaignDelayMost. A
	// leader of 350 workers needs half a core at its peak.
	campaignDelay     = 8 * time.Millisecond
	campaignDelayMost = 100 * time.Millisecond
	// commitPause is the time between two tries of a commit.
	commitPause = 30 * time.Millisecond
	// gatherTime is how long the control goroutine lets events gather.
	gatherTime = 12 * time.Millisecond
	// leastRoundLooks keeps a round of placement worth its while: 14 tasks, with
	// 350 workers.
	leastRoundLooks = 5000
	// eventBuffer is how many events may wait for the control goroutine, and
	// eventBatch how many it takes in before it acts.
	eventBuffer = 1024
	eventBatch  = 1024
	// leastStartsInFlight keeps some 1,000 starts a second possible for the
	// smallest daemon.
	leastStartsInFlight = 40
	// routineLines is how many lines of routine decisions are written a second by
	// a leader with half a core or more, with twice as many at once for a
	// take-over. A busy leader of today's sites makes about 500 such decisions a
	// second at its peak. A smaller one writes as many less, but
	// leastRoutineLines: a line takes about 20 us, a tenth of a leader with an
	// eighth of a core at the full rate.
	routineLines      = 600
	routineLinesCores = 0.5
	leastRoutineLines = 100
	// listsPerDrain is how often the list is read within DrainTime: a read may
	// fail, and an order take a second.
	listsPerDrain = 4
	// asideInterval is the time between two looks at the records of jobs that are
	// set aside: with asideReads they cost at most 12 reads a second.
	asideInterval = 500 * time.Millisecond
)
