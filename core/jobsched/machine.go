package jobsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ordered"
)

// Options are the figures that the platform's contract gives.
type Options struct {
	// Lease is how long what runs may go without a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that a worker takes; 0 stands for Lease.
	MaxLease time.Duration
	// LeaderTTL is how long an earlier leader may go on after it has lost its
	// right, without having heard.
	LeaderTTL time.Duration
	// StopTime is how long a worker takes to stop an attempt.
	StopTime time.Duration
	// KeepFinal is how long the state of a job that is over can be read.
	KeepFinal time.Duration
	// ThrottleDelay is how long a throttle takes to work.
	ThrottleDelay time.Duration
	// RoundBudget bounds the looks at a worker for a task in a round of placement;
	// 0 stands for DefaultRoundLooks. A leader with a part of a core has as many
	// less.
	RoundBudget int
	// StartsInFlight bounds the starts that are sent and not answered; 0 stands
	// for DefaultStartsInFlight. A leader with a part of a core has as many less.
	StartsInFlight int
}

// Machine is the state of the daemon that leads.
type Machine struct {
	options Options
	epoch   model.Epoch
	config  *job.Config

	jobs ordered.Map[job.ID, *jobState]
	// unreadable holds the jobs whose records cannot be read.
	unreadable map[job.ID]*unreadableJob
	// final holds the jobs whose state is final, with the time at which their
	// records may go.
	final map[job.ID]time.Time
	// expiry lists the ids of final in the order of their times.
	expiry []job.ID

	workers ordered.Map[model.Incarnation, *worker]
	// incarnations holds the sessions by the workers' ids.
	incarnations map[model.WorkerID]*workerIncarnations
	// startTimesReported is whether workers say when they were started: an entry that does not is
	// no worker's then.
	startTimesReported bool
	// pending holds the steps that are ready and may have idle tasks.
	pending ordered.Map[*step, struct{}]
	// recoveredAt is when the machine took over.
	recoveredAt time.Time
	// unresolved holds the workers on which an earlier leader may have started
	// what the machine does not know, until the time given.
	unresolved ordered.Map[model.Incarnation, time.Time]
	// rosterLostUntil is until when attempts may run on workers that the machine
	// does not know of, because the stored roster could not be read; else zero.
	rosterLostUntil time.Time

	listed bool
	roster rosterState
	// entries follows the unusable entries of the platform's list.
	entries entryTracker
	deposed bool
	// restarts holds the tasks that were started while an earlier attempt may
	// have been done unheard.
	restarts restarts
	// unseenCrash is set from the moment at which a worker ended on which an earlier
	// leader may have started what no later one knows, until all tasks that may have
	// been there are known again.
	unseenCrash bool
	// recentCrashes holds the workers that have crashed lately.
	recentCrashes []workerCrash
	// trials holds the attempts of tasks that are watched, triedAlone counts the tasks
	// that are tried alone.
	trials         ordered.Map[*attempt, struct{}]
	isolatedTrials int
	// stops holds the attempts whose stop has not been acknowledged.
	stops ordered.Map[*attempt, struct{}]
	// sweptAt is when every attempt was looked at last.
	sweptAt time.Time
	// starting counts the attempts whose start is sent and not answered.
	starting int
	// orphans counts the attempts that no task wants.
	orphans int

	dirty       ordered.Map[job.ID, struct{}]
	removals    []job.ID
	commit      commitState
	scheduledAt time.Time
	changed     bool
	// pass is the look at all steps that wait, crowded whether the last one left
	// tasks over, and misfits what it found no place for.
	pass        pass
	saturated   bool
	unplaceable unplaceable
	// lowUtilization is whether best-effort work need not wait for better places.
	lowUtilization bool

	learner *interference.Model
	// lastLearnID numbers the attempts for the learner.
	lastLearnID uint64
	// victims counts the serving tasks by the number of their image.
	victims []int
	effects effectCache

	now  time.Time
	wall time.Time
	// out holds the effects since the last Advance.
	out []Effect
}

// Recovered is what a leader reads from the store when it takes over.
type Recovered struct {
	// Wall is the time of day, zero if it is not known.
	Wall     time.Time
	Config   *job.Config
	Accepted map[job.ID]*job.Accepted
	Progress map[job.ID]*job.Progress
	// Unreadable holds the jobs whose records cannot be read, with their accepted
	// records where these can, else nil.
	Unreadable map[job.ID]*job.Accepted
	// Roster is the one that was stored last.
	Roster []RosterEntry
	// RosterValid and RosterAge are those of the last commit, whichever term made
	// it.
	RosterValid bool
	RosterAge   time.Duration
	// RosterLost is set when the stored roster cannot be read: it is not known
	// where attempts may run.
	RosterLost bool
	// RosterLostLeft and UnseenCrash are those of the last commit.
	RosterLostLeft time.Duration
	UnseenCrash    bool
	// Learned is what was stored of interference.
	Learned []interference.Effect
}

// New makes the machine of a leader that has just taken over.
func New(now time.Time, epoch model.Epoch, o Options, r Recovered) *Machine {
	m := &Machine{
		options: o, epoch: epoch, config: r.Config, now: now, recoveredAt: now,
		final: make(map[job.ID]time.Time), incarnations: make(map[model.WorkerID]*workerIncarnations), unreadable: make(map[job.ID]*unreadableJob), learner: interference.New(learnerOptions()),
	}
	m.options.MaxLease = cmp.Or(o.MaxLease, o.Lease)
	m.options.RoundBudget = cmp.Or(o.RoundBudget, DefaultRoundBudget)
	m.options.StartsInFlight = cmp.Or(o.StartsInFlight, DefaultStartsInFlight)
	m.unseenCrash = r.UnseenCrash
	m.learner.Import(now, r.Learned)
	for _, id := range slices.Sorted(maps.Keys(r.Progress)) {
		progress := r.Progress[id]
		m.loadRestarts(id, progress.Restarts)
	}
	m.retainRecoveredFinal(r.Progress, r.Wall)
	for _, id := range slices.Sorted(maps.Keys(r.Accepted)) {
		accepted := r.Accepted[id]
		if _, over := m.final[id]; !over {
			m.recoverJob(id, accepted, r.Progress[id])
		}
	}
	m.markAllUnreadable(r.Unreadable)
	switch {
	case r.RosterLost:
		m.markRosterLost(m.earlierLeasesEnd(), "it cannot be read")
	case r.RosterLostLeft > 0:
		m.markRosterLost(now.Add(r.RosterLostLeft), "an earlier leader could not read it")
	}
	for _, entry := range r.Roster {
		m.recoverWorker(entry, r.RosterValid, r.RosterAge)
	}
	return m
}

// Resume lets a machine go on that was without its right for a while in which
// no other daemon led. The answers to its earlier orders come as before.
func (m *Machine) Resume(now time.Time, epoch model.Epoch) {
	m.now = now
	m.epoch = epoch
	for _, w := range m.workers.All() {
		w.renewAt = now
	}
}

// Handle takes an event in. The effects that follow come with Advance.
func (m *Machine) Handle(now time.Time, ev Event) {
	m.now = now
	switch ev := ev.(type) {
	case ConfigChanged:
		m.configChanged(ev.Config)
	case WorkersListed:
		m.workersListed(ev)
	case JobAccepted:
		m.jobAccepted(ev)
	case JobUnreadable:
		m.markUnreadable(ev.ID, nil)
	case JobReread:
		m.jobReread(ev)
	case Renewed:
		m.renewed(ev)
	case Started:
		m.started(ev)
	case Stopped:
		m.stopped(ev)
	case Throttled:
		m.throttled(ev)
	case Committed:
		m.committed(ev)
	case Advised:
		m.advised(ev)
	}
}

// Advance returns what is to be done. wall is the time of day, by which
// repetitions are due. A daemon calls it after each batch of events, and at
// least every TickInterval.
func (m *Machine) Advance(now, wall time.Time) []Effect {
	m.now, m.wall = now, wall
	if !m.deposed {
		m.advance()
	}
	effects := m.out
	m.out = nil
	return effects
}

func (m *Machine) advance() {
	m.expireWorkers()
	m.beginDueOccurrences()
	sweep := m.now.Sub(m.sweptAt) >= sweepInterval
	if sweep {
		m.sweptAt = m.now
		m.checkAttempts()
	}
	m.sendStops()
	m.scheduleIfDue()
	m.sendRenewals()
	if sweep {
		m.sendThrottles()
	}
	m.sendCommit()
}

// scheduleIfDue places tasks when something has changed, and from time to time.
func (m *Machine) scheduleIfDue() {
	if float64(m.starting) > resumeStarts*float64(m.options.StartsInFlight) {
		return
	}
	since := m.now.Sub(m.scheduledAt)
	due := m.pass.open || m.changed && (!m.saturated || since >= saturatedInterval)
	if !due && since < scheduleInterval {
		return
	}
	if !m.pass.open {
		// What changes from here on is for the pass that follows.
		m.changed = false
	}
	m.schedule()
	m.scheduledAt = m.now
}

const (
	// saturatedInterval is the least time between two rounds of placement while
	// tasks wait for room: each end would cause one otherwise, and look at every
	// waiting step.
	saturatedInterval = 30 * time.Millisecond
	// sweepInterval is the time between two looks at every attempt, for those
	// that stand still or have another share than they should. Their readings
	// are half a second old anyway.
	sweepInterval = 45 * time.Millisecond
	// TickInterval is how often Advance is to be called without an event.
	TickInterval = 50 * time.Millisecond
	// scheduleInterval is how often placement is tried when nothing changed:
	// what holds a step or a worker back ends with time alone.
	scheduleInterval = 200 * time.Millisecond
)

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) order(w *worker) Order {
	return Order{Worker: w.id, Address: w.entry.Address, Epoch: m.epoch}
}

func (m *Machine) configChanged(c *job.Config) {
	if m.config == nil || c.Version > m.config.Version {
		m.config = c
		m.changed = true
	}
}

// queue returns the queue of a job by the newer of the configuration in force
// and the one that the job was accepted under. A queue that has gone keeps the
// jobs it took.
func (m *Machine) queue(j *jobState) *job.Queue {
	if m.config != nil && m.config.Version >= j.record.ConfigVersion {
		if q := m.config.Queues[j.record.Queue.Name]; q != nil {
			return q
		}
	}
	return &j.record.Queue
}

// Jobs returns how many jobs are not over, and how many attempts may run.
func (m *Machine) Jobs() (jobs, attempts int) {
	for _, w := range m.workers.All() {
		attempts += w.attempts.Len()
	}
	return m.jobs.Len(), attempts
}
