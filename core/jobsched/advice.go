package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// Advise asks the advice service which workers may run a step.
type Advise struct {
	// Step is the key of one of the step's tasks; its index is irrelevant.
	Step    job.TaskKey
	Workers []model.Incarnation
}

// Advised is the result of an Advise.
type Advised struct {
	Step    job.TaskKey
	Asked   []model.Incarnation
	Verdict Verdict
	// Tickets maps the workers that may run the step to their tickets.
	Tickets map[model.Incarnation]string
	// Validity is how long a ticket is valid.
	Validity time.Duration
}

func (Advise) effect() {}
func (Advised) event() {}

const (
	// adviceWorkers is how many workers one call asks about: the answer takes
	// longer with each.
	adviceWorkers = 30
	// adviceSlack is how long before its expiry a ticket is no longer used.
	adviceSlack = 500 * time.Millisecond
	// advicePause is the delay before a failed call is retried.
	advicePause = 300 * time.Millisecond
)

// advice holds the answers of the advice service for a step. Whether a worker may
// run the step does not change; a ticket expires.
type advice struct {
	tickets map[model.Incarnation]ticket
	denied  map[model.Incarnation]struct{}
	asking  bool
	askAt   time.Time
}

type ticket struct {
	value string
	until time.Time
}

func (a *advice) ticket(id model.Incarnation) string { return a.tickets[id].value }

func (a *advice) valid(id model.Incarnation, now time.Time) bool {
	return now.Before(a.tickets[id].until)
}

// reject drops a ticket that the worker did not accept.
func (a *advice) reject(id model.Incarnation) { delete(a.tickets, id) }

// askAdvice asks the advice service about the workers that a step of an advised
// queue could use next and has no ticket for.
func (m *Machine) askAdvice(s *step) {
	if !m.queue(s.job()).Advised || s.advice.asking || m.now.Before(s.advice.askAt) {
		return
	}
	var ask []*worker
	for _, w := range m.workers.All() {
		_, denied := s.advice.denied[w.id]
		if denied || s.advice.valid(w.id, m.now) || !m.isFeasibleWithTicket(s.tasks[0], w) {
			continue
		}
		ask = append(ask, w)
	}
	if len(ask) == 0 {
		return
	}
	slices.SortFunc(ask, func(a, b *worker) int {
		if d := m.score(s.tasks[0], b) - m.score(s.tasks[0], a); d != 0 {
			return signOf(d)
		}
		return a.id.Compare(b.id)
	})
	ids := make([]model.Incarnation, 0, adviceWorkers)
	for _, w := range ask[:min(len(ask), adviceWorkers)] {
		ids = append(ids, w.id)
	}
	s.advice.asking = true
	m.emit(Advise{Step: s.tasks[0].key(), Workers: ids})
}

func signOf(d float64) int {
	if d < 0 {
		return -1
	}
	return 1
}

// isFeasibleWithTicket reports whether the task could be placed on the worker if it
// had a ticket.
func (m *Machine) isFeasibleWithTicket(t *task, w *worker) bool {
	return m.passes(roomFilters, t, w) && m.passes(fitFilters[:len(fitFilters)-1], t, w)
}

func (m *Machine) advised(ev Advised) {
	t := m.task(ev.Step)
	if t == nil {
		return
	}
	a := &t.step.advice
	a.asking = false
	if ev.Verdict != VerdictDone {
		a.askAt = m.now.Add(advicePause)
		return
	}
	if a.tickets == nil {
		a.tickets = make(map[model.Incarnation]ticket)
		a.denied = make(map[model.Incarnation]struct{})
	}
	for _, id := range ev.Asked {
		if value, ok := ev.Tickets[id]; ok {
			a.tickets[id] = ticket{value: value, until: m.now.Add(ev.Validity - adviceSlack)}
		} else {
			a.denied[id] = struct{}{}
		}
	}
	m.changed = true
}
