package jobservice

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// Options configures a Leader.
type Options struct {
	// Daemon is the name of the VM, the same across restarts; Incarnation identifies
	// the process.
	Daemon, Incarnation string
	// Address is where the daemon serves its peers; empty if it serves none.
	Address string
	// FailureDetector may be nil: then a leader counts as gone when its lease has
	// ended.
	FailureDetector FailureDetector
	// Processors is the number of cores of the daemon. A daemon with more of them
	// campaigns sooner when no daemon leads.
	Processors float64
	Store      port.Store
	Workers    port.TaskWorkers
	List       port.WorkerList
	// Cordons may be nil: then no zone is ever cordoned.
	Cordons port.CordonReader
	// Relays may be nil: the leader then sends its orders itself.
	Relays  RelaySetter
	Advisor port.Advisor
	Config  port.ConfigFeed
	Clock   Clock
	Log     *logrus.Logger
	Metrics *Metrics
	// LeaderTTL is the length of the leader's lease in the store: how long the other
	// daemons wait for a leader that has gone, and how long a leader may continue
	// without the store.
	LeaderTTL time.Duration
	// DrainTime is how long after a worker announced that it leaves it may still be
	// given tasks; 0 if not known.
	DrainTime time.Duration
	Machine   jobsched.Options
}

const (
	// leaseCallTimeout bounds a call for the leader's lease. It is well within the
	// lease, and exceeds the response time of a slow store.
	leaseCallTimeout = 700 * time.Millisecond
	// renewalsPerLease is how often the leader's lease is renewed within its length;
	// a renewal costs a tenth of a read.
	renewalsPerLease = 5
	// leaseMargin is how much earlier the leader's right to act ends than its lease
	// in the store: clock rates differ by at most 2%, and an order needs a moment to
	// be sent.
	leaseMargin = 100 * time.Millisecond
	// listInterval is the default time between two reads of the platform's list of
	// workers. A leaving worker must get no task two seconds after it announced that
	// it leaves. Where workers stay longer, the interval is a part of that time,
	// because the whole list is read: 1,100 entries are 0.6 MB and take 10 ms of a
	// core.
	listInterval = 500 * time.Millisecond
	// leaderPoll is how often a follower reads the leader's key besides watching it:
	// a watch may stay silent when the key is removed.
	leaderPoll = 2 * time.Second
	// campaignPause is the delay before another attempt to lead.
	campaignPause = 100 * time.Millisecond
	// campaignDelay is how long a daemon with one core waits before it takes over a
	// free leadership; with a fraction of a core it waits longer, up to
	// maxCampaignDelay. A leader of 350 workers needs half a core at its peak.
	campaignDelay    = 8 * time.Millisecond
	maxCampaignDelay = 100 * time.Millisecond
	// commitPause is the delay before a commit is retried.
	commitPause = 30 * time.Millisecond
	// gatherTime is how long the control goroutine waits for further events before it
	// acts on one.
	gatherTime = 12 * time.Millisecond
	// minRoundBudget keeps a round of placement worthwhile: 14 tasks, with 350
	// workers.
	minRoundBudget = 5000
	// eventBuffer is how many events may wait for the control goroutine, and
	// eventBatch how many it handles before it acts.
	eventBuffer = 1024
	eventBatch  = 1024
	// minStartsInFlight keeps some 1,000 starts a second possible for the smallest
	// daemon.
	minStartsInFlight = 40
	// minLearnBudget lets the smallest daemon learn from some workers in each step.
	minLearnBudget = 30
	// routineLines is how many lines of routine decisions a leader with half a core
	// or more writes a second, with a burst of twice as many for a takeover. A busy
	// leader of today's sites makes about 500 such decisions a second at its peak. A
	// smaller leader writes proportionally fewer, but at least minRoutineLines: a
	// line takes about 20 us, which at the full rate is a tenth of the processor time
	// of a leader with an eighth of a core.
	routineLines      = 600
	routineLinesCores = 0.5
	minRoutineLines   = 100
	// listsPerDrain is how often the list is read within DrainTime: a read may fail,
	// and an order may take a second.
	listsPerDrain = 4
	// recheckInterval is the time between two rechecks of unreadable jobs: with
	// recheckBatch they cost at most 12 reads a second.
	recheckInterval = 500 * time.Millisecond
)
