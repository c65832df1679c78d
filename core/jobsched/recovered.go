package jobsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/imageindex"
	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joborder"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/runpace"
)

// Recovered is the state that a leader reads from the store when it takes over.
type Recovered struct {
	// Wall is the time of day; zero if unknown.
	Wall     time.Time
	Config   *job.Config
	Accepted map[job.ID]*job.Accepted
	Progress map[job.ID]*job.Progress
	// Revision is the store's revision up to which the accepted jobs were read.
	Revision int64
	// Unreadable maps each job whose records cannot be read to its accepted record,
	// or to nil if that cannot be read either.
	Unreadable map[job.ID]*job.Accepted
	// Roster is the roster stored last.
	Roster []RosterEntry
	// RosterValid and RosterAge are those of the last commit of any term.
	RosterValid bool
	RosterAge   time.Duration
	// RosterLost is set when the stored roster cannot be read, so that attempts may
	// run on unknown workers.
	RosterLost bool
	// RosterLostLeft and UnseenCrash are those of the last commit.
	RosterLostLeft time.Duration
	UnseenCrash    bool
	// Learned holds the stored interference estimates.
	Learned []interference.Effect
}

// New returns the machine of a leader that has just taken over.
func New(now time.Time, epoch model.Epoch, o Options, r Recovered) *Machine {
	m := &Machine{
		options: o, epoch: epoch, config: r.Config, now: now, recoveredAt: now, recoveredWall: r.Wall,
		final: make(map[job.ID]time.Time), incarnations: make(map[model.WorkerID]*workerIncarnations), unreadable: make(map[job.ID]*unreadableJob), learner: interference.New(learnerOptions()),
		images: images{Index: imageindex.New(maxImages)}, runTimes: make(joborder.RunTimes), imagePaces: make(runpace.Images), sizeBalances: make(joborder.Balances), shares: newShareState(),
	}
	m.cordonLimits = cordon.LimitsFor(o.CordonWithin)
	m.options.MaxLease = cmp.Or(o.MaxLease, o.Lease)
	m.options.RoundBudget = cmp.Or(o.RoundBudget, DefaultRoundBudget)
	m.options.StartsInFlight = cmp.Or(o.StartsInFlight, DefaultStartsInFlight)
	m.options.LearnBudget = cmp.Or(o.LearnBudget, DefaultLearnBudget)
	m.unseenCrash = r.UnseenCrash
	m.memory = jobMemory{revision: r.Revision}
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
		m.markRosterLost(m.earlierLeasesEnd(), "the stored roster cannot be read")
	case r.RosterLostLeft > 0:
		m.markRosterLost(now.Add(r.RosterLostLeft), "an earlier leader could not read the stored roster")
	}
	for _, entry := range r.Roster {
		m.recoverWorker(entry, r.RosterValid, r.RosterAge)
	}
	return m
}

// Resume continues a machine whose leadership had lapsed for a while, provided that
// no other daemon led meanwhile. The answers to its earlier orders still arrive as
// usual.
func (m *Machine) Resume(now time.Time, epoch model.Epoch) {
	m.now = now
	m.epoch = epoch
	for _, w := range m.workers.All() {
		w.renewAt = now
	}
}
