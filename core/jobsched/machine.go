package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joborder"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ordered"
	"github.com/guavarill/guavarill/core/placementpass"
	"github.com/guavarill/guavarill/core/runpace"
	"github.com/guavarill/guavarill/core/workerentry"
	"github.com/guavarill/guavarill/core/workerspeed"
)

// Machine is the scheduling state of the daemon that leads. It is not safe for
// concurrent use.
type Machine struct {
	options Options
	epoch   model.Epoch
	config  *job.Config

	jobs ordered.Map[job.ID, *jobState]
	// memory is what the jobs take.
	memory jobMemory
	// unreadable holds the jobs whose records cannot be read.
	unreadable map[job.ID]*unreadableJob
	// final maps each job in a final state to the time at which its record may be
	// removed.
	final map[job.ID]time.Time
	// expiry lists the ids of final in the order of their removal times.
	expiry []job.ID

	workers ordered.Map[model.Incarnation, *worker]
	// incarnations groups the workers by id: one group for all incarnations of an
	// id.
	incarnations map[model.WorkerID]*workerIncarnations
	// startTimesReported is set once any worker has reported its start time. From
	// then on a list entry without a start time is unusable.
	startTimesReported bool
	// pending holds the steps that are ready and may have idle tasks.
	pending ordered.Map[*step, struct{}]
	// recoveredAt is when this machine took over.
	recoveredAt time.Time
	// recoveredWall is the time of day then; zero if it was unknown.
	recoveredWall time.Time
	// unresolved maps each worker that may run attempts unknown to this machine,
	// started by an earlier leader, to the time at which the leases of such
	// attempts have ended.
	unresolved ordered.Map[model.Incarnation, time.Time]
	// rosterLostUntil is when the last attempts on workers unknown to this machine
	// have lost their leases. It is set when the stored roster cannot be read, else
	// zero.
	rosterLostUntil time.Time

	listed bool
	// listRequestedAt is when the latest list of workers was requested.
	listRequestedAt time.Time
	roster          rosterState
	// cordons holds the zones in which nothing may be started, and cordonLimits how
	// old that knowledge may be when something is.
	cordons      cordon.View
	cordonLimits cordon.Limits
	// entries tracks the unusable entries of the platform's list.
	entries workerentry.Tracker
	deposed bool
	// restarts records the tasks that were started again although an earlier
	// attempt may have completed without the leader receiving its end.
	restarts restarts
	// unseenCrash is set when a worker ends on which an earlier leader may have
	// started attempts that no later leader knows of. It is cleared once every task
	// that may have run there has been accounted for.
	unseenCrash bool
	// unseenEnds counts the workers that ended so under this leader.
	unseenEnds int
	// lostWorkers holds the workers lost within crashRetention.
	lostWorkers []lostWorker
	// trials holds the attempts of suspect tasks, requestedTrials the tasks whose
	// trial is about to begin on a certain worker. isolatedTrials counts the tasks
	// that are on trial alone on their workers.
	trials          ordered.Map[*attempt, struct{}]
	requestedTrials ordered.Map[*task, struct{}]
	isolatedTrials  int
	// passedTrials counts the isolated trials that workers have survived since the last
	// suspicious crash of a task that needs isolation. usableWorkers counts the workers
	// that were usable at the start of the round.
	passedTrials, usableWorkers int
	// trialWorkers counts the workers with isolated trials.
	trialWorkers int
	// heldTrials holds the tasks found waiting for their trial in the current pass.
	heldTrials map[*task]struct{}
	// trialsWaiting counts the tasks that waited for their trial in the last pass,
	// unsharedTrialsWaiting those of them whose trials do not share workers.
	trialsWaiting, unsharedTrialsWaiting int
	// stops holds the attempts whose stop has not been acknowledged.
	stops ordered.Map[*attempt, struct{}]
	// sweptAt is when all attempts were last checked.
	sweptAt time.Time
	// starting counts the attempts whose start has been sent but not answered.
	starting int
	// slowWorkers counts the workers that are known to be slow.
	slowWorkers int
	// doubtfulWorkers counts them and those whose speed is to be shown again.
	doubtfulWorkers int
	// imageReferences holds the paces of images as multiples of the estimate.
	imageReferences map[string]*workerspeed.Reference
	// orphans counts the attempts without a task.
	orphans int
	// speculation tracks copies of slow tasks.
	speculation speculationState

	dirty       ordered.Map[job.ID, struct{}]
	removals    []job.ID
	commit      commitState
	scheduledAt time.Time
	changed     bool
	// pass is the current pass over all pending steps. saturated is set if a pass
	// left tasks without a worker. unplaceable remembers what could not be placed
	// in this round.
	pass        placementpass.Pass
	saturated   bool
	unplaceable unplaceable
	// longestWaits holds the longest waits of steps at the end of the last pass.
	longestWaits map[WaitReason]time.Duration
	// lowUtilization holds, by service, whether so much capacity is free that
	// best-effort work need not wait for better workers.
	lowUtilization map[string]bool
	// shares divides room between queues; it is unused unless the deployment asks for
	// that.
	shares shareState

	// runTimes tells how much longer than estimated the jobs of each queue run.
	runTimes joborder.RunTimes
	// imagePaces tells how much longer than estimated the tasks of each image run.
	imagePaces runpace.Images
	// sizeBalances holds the balance between small and large jobs by queue.
	sizeBalances joborder.Balances
	learner      *interference.Model
	// unlearned holds the workers with readings that have not been learned from.
	unlearned ordered.Map[*worker, struct{}]
	// lastReport is the number of the last report of any worker.
	lastReport uint64
	// lastLearnID is the id given last to an attempt in the interference learner.
	lastLearnID uint64
	// images numbers the images of the steps.
	images images
	// victims counts the serving tasks by the index of their image.
	victims []int
	effects effectCache
	// aggressors holds those of the last predicted tails, so that the next ones reuse it.
	aggressors []*attempt
	forecaster forecaster

	now  time.Time
	wall time.Time
	// out holds the effects emitted since the last Advance.
	out []Effect
}

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

// queue returns the queue settings of a job from the newer of two configurations:
// the one in force and the one the job was accepted under. A job whose queue was
// removed keeps the settings it was accepted with.
func (m *Machine) queue(j *jobState) *job.Queue {
	if m.config != nil && m.config.Version >= j.record.ConfigVersion {
		if q := m.config.Queues[j.record.Queue.Name]; q != nil {
			return q
		}
	}
	return &j.record.Queue
}

// Jobs returns the number of jobs that are not over and the number of attempts that
// may be running.
func (m *Machine) Jobs() (jobs, attempts int) {
	for _, w := range m.workers.All() {
		attempts += w.attempts.Len()
	}
	return m.jobs.Len(), attempts
}
