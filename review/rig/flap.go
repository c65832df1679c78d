package main

import (
	"fmt"
	"time"
)

const (
	// upTime and downTime are for how long the worker is up and down by turns, crashes how
	// often it goes down.
	upTime, downTime = 2 * time.Second, 2 * time.Second
	crashes          = 5
	// restartTime is from how long after its last run a task that lasts has to run again,
	// idleTime for how long it may then not run, and calmTime how long before that no
	// impairment may have been.
	restartTime, idleTime, calmTime = 6 * time.Second, 3 * time.Second, 4 * time.Second
)

// flappingWorker: the one worker that can run a task that lasts goes down and up by turns and
// is well from then on.
func flappingWorker(r *rig) {
	orders := newQueue("orders")
	r.deploy(orders)
	// It has room for the task twice over.
	special := r.startWorker("gpu-1", capacity{CPU: 16000, MemMB: 64000, GPUs: 2}, "g", "r9")
	time.Sleep(2 * time.Second)
	lasting := step{Count: 1, CPU: 2000, MemMB: 1000, GPUs: 1, EstimatedMs: 500, LongRunning: true}
	j := r.newJob(orders, []step{lasting}, []taskSpec{{}})
	if !r.submit(j) {
		r.must(errNotAccepted)
	}
	task := j.id + ".0.0.0"
	runs := func() bool {
		running, _ := r.audit.runs(task)
		return running
	}
	if !waitFor(5*time.Second, runs) {
		r.must(fmt.Errorf("%s does not run", task))
	}
	for boot := 2; r.disturbed && boot <= crashes+1; boot++ {
		time.Sleep(upTime)
		special.crash()
		time.Sleep(downTime)
		special = special.reboot(fmt.Sprintf("gpu-%d", boot))
	}
	r.judgeLasting(task, time.Now(), 25*time.Second)
}

// judgeLasting checks for some time that a task that lasts runs. calmSince is when the last
// impairment has ended.
func (r *rig) judgeLasting(task string, calmSince time.Time, during time.Duration) {
	r.note("calm from now on")
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		running, lastEnd := r.audit.runs(task)
		if running {
			continue
		}
		from := lastEnd.Add(restartTime)
		if calm := calmSince.Add(calmTime); calm.After(from) {
			from = calm
		}
		if time.Since(from) >= idleTime {
			r.audit.breaks("LOST", "%s lasts, and has not run for %s; all has been calm for %s, and its worker has room for it twice over",
				task, time.Since(lastEnd).Round(time.Millisecond), time.Since(calmSince).Round(time.Millisecond))
			break
		}
	}
	waitFor(15*time.Second, func() bool {
		running, _ := r.audit.runs(task)
		return running
	})
}

// crashesOfJob is how often the worker goes down in crashingWorker.
const crashesOfJob = 4

// crashingWorker: the one worker that can run the task of a job crashes some times and is
// well from then on. None of the task's runs fails.
func crashingWorker(r *rig) {
	orders := newQueue("orders")
	r.deploy(orders)
	special := r.startWorker("gpu-1", capacity{CPU: 16000, MemMB: 64000, GPUs: 2}, "g", "r9")
	time.Sleep(2 * time.Second)
	j := r.newJob(orders, []step{{Count: 1, CPU: 2000, MemMB: 1000, GPUs: 1, EstimatedMs: 3000}}, []taskSpec{{Ms: 3000}})
	if !r.submit(j) {
		r.must(errNotAccepted)
	}
	for boot := 2; r.disturbed && boot <= crashesOfJob+1; boot++ {
		time.Sleep(upTime)
		special.crash()
		time.Sleep(downTime)
		special = special.reboot(fmt.Sprintf("gpu-%d", boot))
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && j.state != "completed" && j.state != "failed"; {
		time.Sleep(500 * time.Millisecond)
		r.look(j)
	}
	if j.state != "completed" {
		r.audit.breaks("LOST", "job %s was accepted and is told as %q; none of its runs has ended as failed", j.id, j.state)
	}
}
