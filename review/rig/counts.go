package main

import (
	"math"
	"time"
)

// largeCounts: a client hands in one job that can never be done: the counts of its two steps
// are the largest number, and their sum has no place in one. In the quiet form the counts are
// small.
func largeCounts(r *rig) {
	ordinary, other := newQueue("orders"), newQueue("notes")
	r.deploy(ordinary, other)
	first := r.ordinaryJob(ordinary)
	if !r.submit(first) {
		r.must(errNotAccepted)
	}
	count := math.MaxInt
	if !r.disturbed {
		count = 2
	}
	tasks := step{Count: count, CPU: 500, MemMB: 256, EstimatedMs: 900}
	r.submit(r.newJob(other, []step{tasks, tasks}, []taskSpec{{Ms: 900}, {Ms: 900}}))
	r.watch(first, 25*time.Second, 45*time.Second)
	r.judgeEnds()
	r.judgeCompleted(first)
}
