package jobsched

import "time"

// health blames a worker that fails what it starts. A good job that is placed
// there over and over would use up its attempts and be given up for the
// worker's fault; one notices that unrelated tasks fail there one after the
// other. So after a few failures in a row the worker gets no tasks for a while,
// and then a single one at a time until one is done.
type health struct {
	failures  int
	closedTil time.Time
}

const (
	// failuresToClose is how many failures in a row of different tasks close a
	// worker: tasks fail by themselves in a few of a hundred attempts, so that
	// two in a row are rare on a sound worker.
	failuresToClose = 2
	// closedFirst is the first closure; it doubles up to closedMost. Grey
	// workers of the users' reports recover after 4 to 8 s.
	closedFirst = 2 * time.Second
	closedMost  = 8 * time.Second
)

func (h *health) succeeded() { *h = health{} }

func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures < failuresToClose {
		return
	}
	pause := closedFirst << min(h.failures-failuresToClose, 4)
	h.closedTil = now.Add(min(pause, closedMost))
}

func (h *health) open(now time.Time) bool { return !now.Before(h.closedTil) }

// probing reports whether the worker gets one task at a time.
func (h *health) probing() bool { return h.failures >= failuresToClose }
