package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/roomshares"
)

// roomClassKey identifies a class of work: the long-running tasks of a queue, or the
// other ones that have processors committed to them.
type roomClassKey struct {
	queue       string
	longRunning bool
}

// roomClass is what the leader knows of a class of work.
type roomClass struct {
	key roomClassKey
	// queue is the last known settings of the queue.
	queue *job.Queue
	// used is the room on usable workers that its attempts take and that is reserved for
	// its tasks: as measured at the start of the round, and added since.
	used model.Resources
	// waiting is what its ready tasks without an attempt need.
	waiting model.Resources
	// allowance is the longest time that one of its waiting jobs may take, as of the
	// last pass in which any waited.
	allowance   time.Duration
	reserve     roomshares.Reserve
	entitlement roomshares.Entitlement
	// divided is the room of which the entitlement is a fraction.
	divided model.Resources
	// exceeding is the step that was last allowed to exceed the share, at exceededAt.
	exceeding  *step
	exceededAt time.Time
	// heldAt is when the class's share last kept a task from starting, isBinding is
	// whether it has been noted that it does.
	heldAt    time.Time
	isBinding bool
}

// wanted returns what the class uses and would use in addition.
func (c *roomClass) wanted() model.Resources { return c.used.Add(c.waiting) }

// roomClass returns the class that tasks of the step belong to. It is nil for best-effort
// tasks, which use what others leave, and if room is not shared.
func (m *Machine) roomClass(s *step) *roomClass {
	if !m.options.Policies.ShareRoom || s.spec.BestEffort {
		return nil
	}
	queue := m.queue(s.job())
	key := roomClassKey{queue: queue.Name, longRunning: s.spec.LongRunning}
	c := m.shares.classes[key]
	if c == nil {
		c = &roomClass{key: key}
		m.shares.add(c)
	}
	c.queue = queue
	return c
}

// classUse is the room that the attempts of a class take on one worker. The size is zero
// if none of their tasks requests anything.
type classUse struct {
	class    *roomClass
	attempts int
	size     model.Resources
}

// addClassUse counts the attempt's size for its class.
func (w *worker) addClassUse(a *attempt) {
	if a.class == nil {
		return
	}
	i := slices.IndexFunc(w.classUses, func(u classUse) bool { return u.class == a.class })
	if i < 0 {
		i = len(w.classUses)
		w.classUses = append(w.classUses, classUse{class: a.class})
	}
	w.classUses[i].attempts++
	w.classUses[i].size = w.classUses[i].size.Add(a.size)
}

// removeClassUse is the inverse of addClassUse.
func (w *worker) removeClassUse(a *attempt) {
	if a.class == nil {
		return
	}
	i := slices.IndexFunc(w.classUses, func(u classUse) bool { return u.class == a.class })
	w.classUses[i].attempts--
	w.classUses[i].size = w.classUses[i].size.Sub(a.size)
	if w.classUses[i].attempts == 0 {
		w.classUses = slices.Delete(w.classUses, i, i+1)
	}
}
