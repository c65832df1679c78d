package main

import "time"

const (
	// restartDelay is how long a daemon that has ended is down before it is started again.
	restartDelay = 500 * time.Millisecond
	// toleratedEnds and toleratedDaemons are from how many ends of its process by itself a
	// daemon counts, and how many such daemons break the rule: a tenth of those in use, and
	// two at least.
	toleratedEnds, toleratedDaemons = 3, 2
)

// watch starts daemons that have ended again, as the platform does, and looks at a job from
// time to time, until the job is completed and the time has passed.
func (r *rig) watch(j *clientJob, atLeast, atMost time.Duration) {
	began := time.Now()
	for time.Since(began) < atMost && (j.state != "completed" || time.Since(began) < atLeast) {
		time.Sleep(restartDelay)
		for _, d := range r.daemons {
			if !d.runs() {
				d.start()
			}
		}
		r.look(j)
	}
}

// judgeEnds checks how often daemons have ended by themselves.
func (r *rig) judgeEnds() {
	ends, often := 0, 0
	for _, d := range r.daemons {
		ends += d.ownEnds()
		if d.ownEnds() >= toleratedEnds {
			often++
		}
	}
	r.note("daemons have ended by themselves %d times, %d of them three times or more", ends, often)
	if often >= toleratedDaemons {
		r.audit.breaks("Fault", "%d of %d daemons have ended by themselves three times or more, %d times in all", often, len(r.daemons), ends)
	}
}

// judgeCompleted checks that a job that was accepted has been completed.
func (r *rig) judgeCompleted(j *clientJob) {
	if j.state != "completed" {
		r.audit.breaks("LOST", "job %s was accepted, and is told as %q at the end", j.id, j.state)
	}
}
