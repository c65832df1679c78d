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
	from := t.jobsRevision
	for ctx.Err() == nil {
		from = t.watchJobs(ctx, from)
		if ctx.Err() != nil || !Pause(ctx, campaignPause) {
			return
		}
		read, revision, err := readRecords(ctx, t.leader.o.Store, acceptedPrefix, job.DecodeAccepted)
		if err != nil {
			t.leader.log.WithError(err).Debug("jobs not read; tried again")
			continue
		}
		from = revision
		for _, d := range read.damaged {
			t.reportUnreadableJob(ctx, d.kv, d.cause)
		}
		for id, record := range read.byID {
			if !t.unreadableJobs.has(id) {
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
			t.handleJobRecord(ctx, ev.KeyValue)
		}
	}
	return from
}

func (t *term) handleJobRecord(ctx context.Context, kv port.KeyValue) {
	record, err := job.DecodeAccepted(kv.Value)
	if err != nil {
		t.reportUnreadableJob(ctx, kv, err)
		return
	}
	id, err := jobIDFromKey(kv.Key, acceptedPrefix)
	switch {
	case err != nil:
		t.reportUnreadableJob(ctx, kv, err)
	case !t.unreadableJobs.has(id):
		t.postStored(ctx, jobsched.JobAccepted{ID: id, Record: record})
	}
}

// reportUnreadableJob sets a job aside whose accepted record cannot be read, and passes over
// a key that names no job. A job that the machine knows goes on.
func (t *term) reportUnreadableJob(ctx context.Context, kv port.KeyValue, cause error) {
	id, err := jobIDFromKey(kv.Key, acceptedPrefix)
	if err != nil {
		t.leader.o.Metrics.ReportUnreadable(t.leader.log, kindAccepted, kv, err, invalidKeyConsequence)
		return
	}
	t.leader.o.Metrics.ReportUnreadable(t.leader.log, kindAccepted, kv, cause, unreadableJobConsequence)
	t.unreadableJobs.add(id)
	t.postStored(ctx, jobsched.JobUnreadable{ID: id})
}

// invalidKeyConsequence is what the log says of a key that names no job.
const invalidKeyConsequence = "its key names no job, and it is passed over"

// pollWorkers reads the platform's list of workers again and again.
func (t *term) pollWorkers(ctx context.Context) {
	defer t.leader.o.Metrics.setEntries(jobsched.EntryCounts{})
	interval := max(listInterval, t.leader.o.DrainTime/listsPerDrain)
	for ctx.Err() == nil {
		began := time.Now()
		listed, err := t.leader.o.List.List(ctx)
		if err == nil {
			t.workerCount.Store(int64(len(listed.Workers)))
			t.postStored(ctx, listed)
			t.exportEntryCounts(ctx)
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
