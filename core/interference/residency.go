package interference

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Resident is a task on a worker at a point in time.
type Resident struct {
	Key   model.TaskKey
	Class string
	// Share is the share of the task's effect that counts: 1 for an unthrottled
	// task, less for a throttled one, and 0 for one without effect. A caller that
	// expresses effects relative to the size of a task may use values above 1 for
	// large tasks.
	Share float64
	// StillRunning is whether the task is on the worker now.
	StillRunning bool
}

// span is a period in which a task was on a worker with the same share. An open
// span has a zero end.
type span struct {
	Resident
	from, to time.Time
}

func (s *span) covers(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// workerSpans is the record of one worker.
type workerSpans struct {
	// since is the earliest time for which spans is complete.
	since time.Time
	spans []span
	// latest holds the time of the latest measurement of each victim.
	latest map[model.TaskKey]time.Time
}

// Residency records for a limited time which tasks were on which worker.
type Residency struct {
	retain  time.Duration
	workers map[model.WorkerID]*workerSpans
	// last is the last result of At, which holds until a record changes: all victims on
	// a worker are measured at the same time.
	last lookup
}

// lookup is a result of At.
type lookup struct {
	worker    model.WorkerID
	at        time.Time
	residents []Resident
	// current is set as long as no record has changed since.
	current bool
}

// NewResidency returns an empty record that keeps tasks for the time retain after
// they have left their worker.
func NewResidency(retain time.Duration) *Residency {
	return &Residency{retain: retain, workers: make(map[model.WorkerID]*workerSpans)}
}

// TaskStarted records that a task runs unthrottled on a worker from now on. The
// first call for a worker begins its record; the time before is unknown.
func (r *Residency) TaskStarted(now time.Time, w model.WorkerID, key model.TaskKey, class string) {
	r.change(now, w, Resident{Key: key, Class: class, Share: 1})
}

// TaskThrottled records the share of a task's effect that counts from now on, 0 or
// more. It ignores a task that is not on the worker.
func (r *Residency) TaskThrottled(now time.Time, w model.WorkerID, key model.TaskKey, share float64) {
	ws, ok := r.workers[w]
	if !ok {
		return
	}
	if i := ws.openSpan(key); i >= 0 && ws.spans[i].Share != share {
		r.change(now, w, Resident{Key: key, Class: ws.spans[i].Class, Share: share})
	}
}

// TaskStopped records that a task is no longer on a worker.
func (r *Residency) TaskStopped(now time.Time, w model.WorkerID, key model.TaskKey) {
	ws, ok := r.workers[w]
	if !ok {
		return
	}
	r.last.current = false
	if i := ws.openSpan(key); i >= 0 {
		ws.spans[i].to = now
	}
	delete(ws.latest, key)
	ws.prune(now.Add(-r.retain))
}

// DropWorker drops the record of a worker that is gone.
func (r *Residency) DropWorker(w model.WorkerID) {
	r.last.current = false
	delete(r.workers, w)
}

// At returns the tasks that were on a worker at a time, in the order of their keys. The
// second result is false if the record does not cover that time. The slice belongs to the
// Residency, and is valid until the next call.
func (r *Residency) At(w model.WorkerID, at time.Time) ([]Resident, bool) {
	ws, ok := r.workers[w]
	if !ok || at.Before(ws.since) {
		return nil, false
	}
	if r.last.current && r.last.worker == w && r.last.at.Equal(at) {
		return r.last.residents, true
	}
	found := r.last.residents[:0]
	for i := range ws.spans {
		if s := &ws.spans[i]; s.covers(at) {
			presence := s.Resident
			presence.StillRunning = s.to.IsZero() || ws.openSpan(presence.Key) >= 0
			found = append(found, presence)
		}
	}
	r.last = lookup{worker: w, at: at, residents: found, current: true}
	slices.SortFunc(found, func(a, b Resident) int {
		if a.Key.Less(b.Key) {
			return -1
		}
		return 1
	})
	return found, true
}

func (r *Residency) change(now time.Time, w model.WorkerID, p Resident) {
	r.last.current = false
	ws, ok := r.workers[w]
	if !ok {
		ws = &workerSpans{since: now, latest: make(map[model.TaskKey]time.Time)}
		r.workers[w] = ws
	}
	if i := ws.openSpan(p.Key); i >= 0 {
		ws.spans[i].to = now
	}
	ws.spans = append(ws.spans, span{Resident: p, from: now})
	ws.prune(now.Add(-r.retain))
}

// recordIfNewer reports whether a measurement of a victim is later than all earlier
// ones and, if so, records its time. Otherwise a report that is delivered twice
// would count twice, and the model's variance would become too small for its
// evidence.
func (r *Residency) recordIfNewer(w model.WorkerID, victim model.TaskKey, at time.Time) bool {
	ws, ok := r.workers[w]
	if !ok {
		return true
	}
	if !at.After(ws.latest[victim]) {
		return false
	}
	if ws.openSpan(victim) >= 0 {
		ws.latest[victim] = at
	}
	return true
}

// openSpan returns the index of a task's open span, or -1.
func (ws *workerSpans) openSpan(key model.TaskKey) int {
	for i := len(ws.spans) - 1; i >= 0; i-- {
		if ws.spans[i].Key == key && ws.spans[i].to.IsZero() {
			return i
		}
	}
	return -1
}

// prune drops spans that ended before horizon.
func (ws *workerSpans) prune(horizon time.Time) {
	ws.spans = slices.DeleteFunc(ws.spans, func(s span) bool {
		return !s.to.IsZero() && s.to.Before(horizon)
	})
	if horizon.After(ws.since) {
		ws.since = horizon
	}
}
