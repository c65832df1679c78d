package interference

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Resident is a task on a worker at one time.
type Resident struct {
	Key   model.TaskKey
	Class string
	// Share is how much of its effect counts: 1 for a task at full speed, less for
	// one that is throttled, 0 for one that disturbs nobody. A caller that knows how
	// large tasks are may tell effects by size and give large ones more than 1.
	Share float64
	// StillRunning is whether the task is still there.
	StillRunning bool
}

// span is a stretch of time in which a presence did not change. An open span
// has a zero end.
type span struct {
	Resident
	from, to time.Time
}

func (s *span) covers(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

type workerSpans struct {
	// since is the earliest time for which spans is complete.
	since  time.Time
	spans  []span
	latest map[model.TaskKey]time.Time
}

// Residency remembers for a while which tasks were on which worker.
type Residency struct {
	retain  time.Duration
	workers map[model.WorkerID]*workerSpans
}

// NewResidency returns a record that keeps ended presences for retain.
func NewResidency(retain time.Duration) *Residency {
	return &Residency{retain: retain, workers: make(map[model.WorkerID]*workerSpans)}
}

// TaskStarted records that a task is on a worker from now on, unthrottled. The
// first call for a worker also begins its record: nothing is known of it
// before that time.
func (r *Residency) TaskStarted(now time.Time, w model.WorkerID, key model.TaskKey, class string) {
	r.change(now, w, Resident{Key: key, Class: class, Share: 1})
}

// TaskThrottled records the share of its effect that counts from now on, 0 or more. A
// task that is not on the worker is ignored.
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
	if i := ws.openSpan(key); i >= 0 {
		ws.spans[i].to = now
	}
	delete(ws.latest, key)
	ws.prune(now.Add(-r.retain))
}

// DropWorker forgets a worker that is gone.
func (r *Residency) DropWorker(w model.WorkerID) { delete(r.workers, w) }

// At returns who was on a worker at a time, in order of task key. The second
// result is false when the record does not reach back that far.
func (r *Residency) At(w model.WorkerID, at time.Time) ([]Resident, bool) {
	ws, ok := r.workers[w]
	if !ok || at.Before(ws.since) {
		return nil, false
	}
	var found []Resident
	for i := range ws.spans {
		if ws.spans[i].covers(at) {
			presence := ws.spans[i].Resident
			presence.StillRunning = ws.openSpan(presence.Key) >= 0
			found = append(found, presence)
		}
	}
	slices.SortFunc(found, func(a, b Resident) int {
		if a.Key.Less(b.Key) {
			return -1
		}
		return 1
	})
	return found, true
}

func (r *Residency) change(now time.Time, w model.WorkerID, p Resident) {
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

// recordIfNewer reports whether a victim's measurement is later than all before it,
// and remembers it. A report that is delivered twice would otherwise count
// twice and make the model surer than its evidence.
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
