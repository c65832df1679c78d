package jobservice

import (
	"context"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// followJobs hands each accepted or canceled job to the machine. A watch that
// breaks, or that the store's history no longer covers, is begun anew after
// reading all jobs.
func (t *term) followJobs(ctx context.Context) {
	from := t.jobsFrom
	for ctx.Err() == nil {
		from = t.watchJobs(ctx, from)
		if ctx.Err() != nil || !Pause(ctx, campaignPause) {
			return
		}
		read, revision, err := readAll(ctx, t.leader.o.Store, acceptedPrefix, job.DecodeAccepted)
		if err != nil {
			t.leader.log.WithError(err).Debug("jobs not read; tried again")
			continue
		}
		from = revision
		for _, d := range read.damaged {
			t.setAside(ctx, d.kv, d.cause)
		}
		for id, record := range read.byID {
			if !t.aside.has(id) {
				t.postStored(ctx, jobsched.JobAccepted{ID: id, Record: record})
			}
		}
	}
}

// watchJobs follows the jobs until the watch breaks, and returns the revision
// up to which it has seen them.
func (t *term) watchJobs(ctx context.Context, from int64) int64 {
	events, err := t.leader.o.Store.Watch(ctx, acceptedPrefix, from)
	if err != nil {
		return from
	}
	for ev := range events {
		if ev.Err != nil {
			t.leader.log.WithError(ev.Err).Debug("watch of jobs broke; it is begun anew")
			continue
		}
		from = ev.Revision
		if !ev.Deleted {
			t.takeIn(ctx, ev.KeyValue)
		}
	}
	return from
}

func (t *term) takeIn(ctx context.Context, kv port.KeyValue) {
	record, err := job.DecodeAccepted(kv.Value)
	if err != nil {
		t.setAside(ctx, kv, err)
		return
	}
	id, err := jobOf(kv.Key, acceptedPrefix)
	switch {
	case err != nil:
		t.setAside(ctx, kv, err)
	case !t.aside.has(id):
		t.postStored(ctx, jobsched.JobAccepted{ID: id, Record: record})
	}
}

// setAside sets a job aside whose accepted record cannot be read, and passes over
// a key that names no job. A job that the machine knows goes on.
func (t *term) setAside(ctx context.Context, kv port.KeyValue, cause error) {
	id, err := jobOf(kv.Key, acceptedPrefix)
	if err != nil {
		t.leader.o.Metrics.ReportUnreadable(t.leader.log, kindAccepted, kv, err, strayConsequence)
		return
	}
	t.leader.o.Metrics.ReportUnreadable(t.leader.log, kindAccepted, kv, cause, asideConsequence)
	t.aside.add(id)
	t.postStored(ctx, jobsched.JobUnreadable{ID: id})
}

// strayConsequence is what the log says of a key that names no job.
const strayConsequence = "its key names no job, and it is passed over"

// followWorkers reads the platform's list of workers again and again.
func (t *term) followWorkers(ctx context.Context) {
	defer t.leader.o.Metrics.setEntries(jobsched.EntryCounts{})
	interval := max(listInterval, t.leader.o.DrainTime/listsPerDrain)
	for ctx.Err() == nil {
		began := time.Now()
		listed, err := t.leader.o.List.List(ctx)
		if err == nil {
			t.listed.Store(int64(len(listed.Workers)))
			t.postStored(ctx, listed)
			t.countEntries(ctx)
		} else {
			t.leader.log.WithError(err).Debug("workers not read; tried again")
		}
		Pause(ctx, interval-min(time.Since(began), interval/2))
	}
}

// followConfig hands each newer configuration to the machine.
func (t *term) followConfig(ctx context.Context) {
	feed := t.leader.o.Config
	for {
		changed := feed.Changed()
		if c := feed.Current(); c != nil {
			t.postStored(ctx, jobsched.ConfigChanged{Config: c})
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
