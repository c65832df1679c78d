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
		accepted, revision, err := readAll(ctx, t.leader.o.Store, acceptedPrefix, job.DecodeAccepted)
		if err != nil {
			t.leader.log.WithError(err).Debug("jobs not read; tried again")
			continue
		}
		from = revision
		for id, record := range accepted {
			t.postStored(ctx, jobsched.JobAccepted{ID: id, Record: record})
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
	id, err := jobOf(kv.Key, acceptedPrefix)
	if err != nil {
		t.leader.log.WithField("key", kv.Key).Error("key names no job; passed over")
		return
	}
	record, err := job.DecodeAccepted(kv.Value)
	if err != nil {
		t.leader.log.WithError(err).WithField("job", id).Error("job cannot be read; passed over")
		return
	}
	t.postStored(ctx, jobsched.JobAccepted{ID: id, Record: record})
}

// followWorkers reads the platform's list of workers again and again.
func (t *term) followWorkers(ctx context.Context) {
	defer t.leader.o.Metrics.setEntries(jobsched.EntryCounts{})
	for ctx.Err() == nil {
		began := time.Now()
		call, cancel := context.WithTimeout(ctx, listTimeout)
		listed, err := t.leader.o.List.List(call)
		cancel()
		if err == nil {
			t.postStored(ctx, listed)
			t.countEntries(ctx)
		} else {
			t.leader.log.WithError(err).Debug("workers not read; tried again")
		}
		Pause(ctx, listInterval-min(time.Since(began), listInterval/2))
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
