package worker

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

const percent = 100

// sample is one measurement of a running task.
type sample struct {
	at       time.Time
	usage    model.Resources
	slowdown float64
	progress uint32
}

// updateSlowdowns computes how much the running tasks slow each other down.
func (a *Agent) updateSlowdowns() {
	for _, victim := range a.records {
		if victim.running() {
			victim.slowdown = a.slowdownOf(victim)
		}
	}
}

func (a *Agent) slowdownOf(victim *record) float64 {
	factor := 1.0
	for _, noisy := range a.sorted() {
		if noisy == victim || !noisy.running() {
			continue
		}
		pair := Pair{Victim: victim.start.GetClass(), Noisy: noisy.start.GetClass()}
		factor += a.opt.Pairs[pair] * float64(noisy.throttle) / percent
	}
	return factor
}

// sample measures the running tasks when a measurement is due.
func (a *Agent) sample(now time.Time) {
	if now.Sub(a.sampledAt) < a.opt.SampleEvery {
		return
	}
	a.sampledAt = now
	for _, r := range a.records {
		if r.running() {
			r.samples = append(r.samples, measure(r, now))
			r.samples = dropOld(r.samples, now.Add(-a.opt.UsageLag))
		}
	}
}

func measure(r *record, now time.Time) sample {
	usage := r.behave.Usage
	usage.MilliCPU = usage.MilliCPU * int64(r.throttle) / unthrottled
	s := sample{at: now, usage: usage, slowdown: r.slowdown}
	if r.behave.Run > 0 {
		s.progress = uint32(r.done * percent / r.behave.Run)
	}
	return s
}

// dropOld removes the samples before the latest one taken no later than shown.
func dropOld(samples []sample, shown time.Time) []sample {
	for len(samples) > 1 && !samples[1].at.After(shown) {
		samples = samples[1:]
	}
	return samples
}

// usageOf returns the latest measurement that is at least UsageLag old, or nil.
func (a *Agent) usageOf(r *record) *workerv1.Usage {
	shown := a.now.Add(-a.opt.UsageLag)
	var u *workerv1.Usage
	for _, s := range r.samples {
		if s.at.After(shown) {
			break
		}
		u = &workerv1.Usage{
			MilliCpu:           s.usage.MilliCPU,
			MemoryMb:           s.usage.MemoryMB,
			MeasuredUnixMillis: s.at.UnixMilli(),
			SlowdownPercent:    uint32(s.slowdown * percent),
			ProgressPercent:    s.progress,
		}
	}
	return u
}

// reports returns the task reports of a response: for all tasks, or only for those
// that the request's commands named and those that have ended.
func (a *Agent) reports(all bool, named map[string]bool) []*workerv1.TaskReport {
	var list []*workerv1.TaskReport
	for _, r := range a.sorted() {
		if !all && r.running() && !named[r.task] {
			continue
		}
		list = append(list, a.report(r, all))
	}
	return list
}

func (a *Agent) report(r *record, usage bool) *workerv1.TaskReport {
	report := &workerv1.TaskReport{
		Task:    r.task,
		Attempt: r.attempt,
		State:   r.state,
		Address: r.address,
		Detail:  r.detail,
	}
	if !r.running() {
		report.Checkpoint = r.checkpoint
	}
	if usage && r.running() {
		report.Usage = a.usageOf(r)
	}
	return report
}
