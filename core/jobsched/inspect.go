package jobsched

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// JobView is the leader's view of a job that is not over, for operators.
type JobView struct {
	ID       job.ID    `json:"id"`
	Queue    string    `json:"queue"`
	Priority int       `json:"priority"`
	State    job.State `json:"state"`
	// AcceptedMs is when the job was accepted, in milliseconds since 1970 on the
	// accepting daemon's clock.
	AcceptedMs int64 `json:"acceptedMs"`
	// ConfigVersion is the version of the configuration that the job was accepted
	// under.
	ConfigVersion uint64     `json:"configVersion"`
	Attempts      int        `json:"attempts"`
	Steps         []StepView `json:"steps,omitempty"`
}

// StepView is an unfinished step of an occurrence that has begun.
type StepView struct {
	// Name is job.occurrence.step.
	Name string `json:"name"`
	// Done, Running and Waiting count the step's tasks. Blocked is how many steps
	// must be done before any of them may start.
	Done    int `json:"done"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Blocked int `json:"blocked,omitempty"`
	// RuledOut counts the workers by the reason that rules them out, for a step
	// that waits.
	RuledOut string `json:"ruledOut,omitempty"`
	// TrialWait is what the step's tasks wait for that may have crashed workers and
	// are tried after one another; empty if none does.
	TrialWait string `json:"trialWait,omitempty"`
	// HeldUntil is when the step may be tried again after a refusal, or the latest
	// time at which the hold in HeldBack ends. It is zero if the step is not held
	// back or the time is unknown.
	HeldUntil time.Time `json:"heldUntil,omitzero"`
	// HeldBack is the reason why the step is held back: one of its tasks may be
	// running on another worker.
	HeldBack string `json:"heldBack,omitempty"`
	// Crashes describes the crashes of workers under the step's tasks, one line per
	// task.
	Crashes  []string      `json:"crashes,omitempty"`
	Attempts []AttemptView `json:"attempts,omitempty"`
}

// AttemptView is one attempt that may be running.
type AttemptView struct {
	Task    string         `json:"task"`
	Attempt int            `json:"attempt"`
	Worker  model.WorkerID `json:"worker"`
	Phase   string         `json:"phase"`
	// Percent is how much of its work is done. Throttle is the share of its speed
	// at which it runs, in percent.
	Percent  int `json:"percent"`
	Throttle int `json:"throttle"`
}

var phaseNames = [...]string{"starting", "running", "doubtful", "stopping"}

// Inspect returns the leader's view of a job. The second result is false if the job
// is over or unknown.
func (m *Machine) Inspect(id job.ID) (JobView, bool) {
	j := m.jobs.Get(id)
	if j == nil {
		return JobView{}, false
	}
	view := m.viewWithoutSteps(j)
	for _, o := range j.openOccurrences() {
		for _, s := range o.steps {
			if s.left > 0 {
				view.Steps = append(view.Steps, m.stepView(s))
			}
		}
	}
	return view, true
}

// List returns up to limit jobs that are not over, without their steps, ordered by
// acceptance time.
func (m *Machine) List(limit int) []JobView {
	views := make([]JobView, 0, m.jobs.Len())
	for _, j := range m.jobs.All() {
		views = append(views, m.viewWithoutSteps(j))
	}
	slices.SortFunc(views, func(a, b JobView) int {
		return cmp.Or(cmp.Compare(a.AcceptedMs, b.AcceptedMs), cmp.Compare(a.ID, b.ID))
	})
	return views[:min(len(views), limit)]
}

func (m *Machine) viewWithoutSteps(j *jobState) JobView {
	q := m.queue(j)
	return JobView{
		ID: j.id, Queue: q.Name, Priority: q.Priority, State: j.state, AcceptedMs: j.record.AcceptedAtMs,
		ConfigVersion: j.record.ConfigVersion, Attempts: j.attempts,
	}
}

func (m *Machine) stepView(s *step) StepView {
	view := StepView{Name: s.name(), Done: len(s.tasks) - s.left, Blocked: s.blocking}
	for _, t := range s.tasks {
		switch {
		case t.done:
		case t.idle():
			view.Waiting++
		default:
			view.Running++
		}
		for _, a := range t.attempts {
			view.Attempts = append(view.Attempts, a.view())
		}
		if len(t.crashes) > 0 {
			view.Crashes = append(view.Crashes, t.key().String()+": "+t.crashes.String())
		}
	}
	if view.Waiting > 0 && view.Blocked == 0 {
		view.RuledOut, view.TrialWait = m.ruledOut(s), m.describeTrialWait(s)
	}
	if s.notBefore.After(m.now) {
		view.HeldUntil = s.notBefore
	}
	if h, held := m.holdOnStep(s); held {
		view.HeldUntil, view.HeldBack = h.until, strings.TrimSpace(h.worker.String()+" "+h.describe(m.now))
	}
	return view
}

func (a *attempt) view() AttemptView {
	return AttemptView{
		Task: a.key.task.String(), Attempt: a.key.attempt, Worker: a.worker.id.ID, Phase: phaseNames[a.phase],
		Percent: a.percent, Throttle: a.throttle,
	}
}
