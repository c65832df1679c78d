package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
)

const (
	// keptJobs is how many long-running jobs run throughout.
	keptJobs = 3
	// keptTasks is how many tasks each has: so many that all of them fit on one
	// worker, with a quarter of it to spare.
	keptTasks = standin.WorkerCPU / standin.TaskCPU * 3 / 4 / keptJobs
)

const (
	// runAgain is how long after its last run a long-running task is to run again
	// where there is room, by the users' rule.
	runAgain = 6 * time.Second
	// runAgainGrace is what passes beyond it, by the same rule, before it counts.
	runAgainGrace = 3 * time.Second
	// mostWithout bounds the time without a run.
	mostWithout = runAgain + runAgainGrace
	// overcome is how long after its end a fault excuses that a task does not run:
	// as long as a canceled job's tasks may run on, and for the same causes. An
	// earlier leader's lease has ended then, and all leases that it gave.
	overcome = cancelGrace
	// joinTime is how long after it was listed a worker may have no room yet: the
	// list is read every half second, the worker is stored on the roster and has
	// to answer, and a new leader does all of it anew.
	joinTime = 2 * time.Second
)

// span is a time in which something was so.
type span struct{ from, to time.Time }

func beginSpan() *span { return &span{from: time.Now()} }

func (s *span) end() { s.to = time.Now() }

func byBegin(a, b span) int { return a.from.Compare(b.from) }

// keep submits long-running jobs, and cancels them when faults have ceased to
// come for as long as they are to linger.
func (c *caller) keep(ctx, calling context.Context, linger time.Duration) {
	var following sync.WaitGroup
	for range keptJobs {
		j := &submitted{id: c.nextID(), steps: []int{keptTasks}, longRunning: true}
		c.jobs = append(c.jobs, j)
		seed := c.rnd.Uint64()
		following.Go(func() { c.keepOne(ctx, calling, linger, j, rand.New(rand.NewPCG(seed, 0))) })
	}
	following.Wait()
}

func (c *caller) keepOne(ctx, calling context.Context, linger time.Duration, j *submitted, rnd *rand.Rand) {
	if !c.submit(calling, j, rnd) {
		return
	}
	<-ctx.Done()
	pause(calling, linger)
	for calling.Err() == nil && j.final == "" {
		if j.canceledAt.IsZero() {
			c.cancel(rnd, j)
		}
		time.Sleep(lookEvery)
		c.look(rnd, j)
	}
}

// checkLongRunning checks that every long-running task ran again in time.
//
// It accuses only where nothing excuses that the task does not run. From the
// time between a run and the next one it takes away: the time in which a fault
// was under way that is no planned work, whatever it hit, with the time that it
// takes to overcome it; and the time in which no worker was there to stay that
// had been there for long enough to be known. With one such worker there is room:
// it holds all long-running tasks, and they go before short work and displace it.
// What is left counts only in one piece. The time before a task's first run is no
// matter of it, nor is that after a cancel was sent. Restarts and leaving workers
// of the planned series excuse nothing.
func (d *deployment) checkLongRunning(events []standin.AuditEvent, jobs []*submitted, result *Result) {
	excuses := append(d.unplannedSpans(), d.roomlessSpans()...)
	slices.SortFunc(excuses, byBegin)
	for _, j := range jobs {
		if !j.longRunning {
			continue
		}
		for _, idle := range idleTimes(events, j) {
			without := longestOutside(idle.span, excuses)
			if without > result.LongestWithout {
				result.LongestWithout, result.LongestTask = without, idle.task
			}
			if without > mostWithout {
				d.report.add("long-running task %s did not run for %s with room for it, after its run on %s",
					idle.task, without.Round(time.Millisecond), idle.worker)
			}
		}
	}
}

// unplannedSpans returns the times that unplanned faults excuse.
func (d *deployment) unplannedSpans() []span {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []span
	for _, s := range d.unplanned {
		list = append(list, span{s.from, s.to.Add(overcome)})
	}
	return list
}

// idleTime is the time between two runs of a task.
type idleTime struct {
	span
	// worker had the run before.
	task, worker string
}

// idleTimes returns the times between the runs of a job's tasks, until a cancel
// of it was sent or the run of the soak was over.
func idleTimes(events []standin.AuditEvent, j *submitted) []idleTime {
	until := j.cancelSentAt
	if until.IsZero() {
		until = time.Now()
	}
	runsOn := make(map[string]string)
	ended := make(map[string]standin.AuditEvent)
	var list []idleTime
	for _, e := range events {
		if !strings.HasPrefix(e.Task, j.id+".") || e.At.After(until) {
			continue
		}
		if e.Kind != standin.AuditStarted {
			// The end of another run than the last one leaves the task running.
			if runsOn[e.Task] == e.Worker {
				ended[e.Task] = e
			}
			continue
		}
		runsOn[e.Task] = e.Worker
		if last, ok := ended[e.Task]; ok {
			list = append(list, idleTime{span{last.At, e.At}, e.Task, last.Worker})
			delete(ended, e.Task)
		}
	}
	for task, last := range ended {
		list = append(list, idleTime{span{last.At, until}, task, last.Worker})
	}
	return list
}

// longestOutside returns the longest piece of a time that lies outside of all
// excuses, which are in the order of their begin.
func longestOutside(s span, excuses []span) time.Duration {
	longest, from := time.Duration(0), s.from
	for _, e := range excuses {
		if !e.from.Before(s.to) {
			break
		}
		longest = max(longest, e.from.Sub(from))
		if e.to.After(from) {
			from = e.to
		}
	}
	return max(longest, s.to.Sub(from))
}

// roomlessSpans returns the times in which no worker was there to stay that had
// been there for long enough to be known.
func (d *deployment) roomlessSpans() []span {
	d.mu.Lock()
	defer d.mu.Unlock()
	var known []span
	for _, stay := range d.stays {
		k := span{stay.from.Add(joinTime), stay.to}
		if k.to.IsZero() {
			k.to = time.Now()
		}
		if k.from.Before(k.to) {
			known = append(known, k)
		}
	}
	slices.SortFunc(known, byBegin)
	return outside(known)
}

// outside returns the times before and between some, which are in the order of
// their begin.
func outside(spans []span) []span {
	var list []span
	var covered time.Time
	for _, s := range spans {
		if s.from.After(covered) {
			list = append(list, span{covered, s.from})
		}
		if s.to.After(covered) {
			covered = s.to
		}
	}
	return list
}
