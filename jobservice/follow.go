package jobservice

import (
	"context"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/workerentry"
	"github.com/guavarill/guavarill/port"
)

// followJobs passes each accepted or canceled job to the machine. When the watch
// breaks, or the store's history no longer covers it, all jobs are read and a new
// watch is started.
func (t *term) followJobs(ctx context.Context) {
	from := t.jobsRevision
	for ctx.Err() == nil {
		from = t.watchJobs(ctx, from)
		if ctx.Err() != nil || !Pause(ctx, campaignPause) {
			return
		}
		read, revision, err := readRecords(ctx, t.leader.o.Store, acceptedPrefix, job.DecodeAccepted)
		if err != nil {
			t.leader.log.WithError(err).Debug("jobs not read; retrying")
			continue
		}
		from = revision
		for _, d := range read.damaged {
			t.reportUnreadableJob(ctx, d.kv, d.cause)
		}
		for _, id := range read.inOrder() {
			if !t.unreadableJobs.has(id) {
				t.postStored(ctx, jobsched.JobAccepted{ID: id, Record: read.byID[id], Revision: read.items[id].ModRevision})
			}
		}
	}
}

// watchJobs follows the jobs until the watch breaks, and returns the store revision
// up to which it has seen them.
func (t *term) watchJobs(ctx context.Context, from int64) int64 {
	events, err := t.leader.o.Store.Watch(ctx, acceptedPrefix, from)
	if err != nil {
		return from
	}
	for ev := range events {
		if ev.Err != nil {
			t.leader.log.WithError(ev.Err).Debug("watch of jobs broke; restarting it")
			continue
		}
		from = ev.Revision
		if !ev.Deleted {
			t.handleJobRecord(ctx, ev.KeyValue)
		}
	}
	return from
}

// handleJobRecord passes an accepted record to the machine, unless it cannot be
// decoded or its job is already known to be unreadable.
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
		t.postStored(ctx, jobsched.JobAccepted{ID: id, Record: record, Revision: kv.ModRevision})
	}
}

// reportUnreadableJob stops a job whose accepted record cannot be decoded from being
// scheduled, and ignores a key that names no job. A job that the machine already
// knows continues.
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

// invalidKeyConsequence is the consequence that the log states for a key that names
// no job.
const invalidKeyConsequence = "its key names no job, and it is ignored"

// pollWorkers periodically reads the platform's list of workers.
func (t *term) pollWorkers(ctx context.Context) {
	defer t.leader.o.Metrics.setEntries(workerentry.Counts{})
	defer t.leader.o.Metrics.setLongestWaits(nil)
	defer t.leader.o.Metrics.setRoomShares(nil)
	defer t.leader.o.Metrics.copies.set(jobsched.CopyCounts{})
	interval := max(listInterval, t.leader.o.DrainTime/listsPerDrain)
	for ctx.Err() == nil {
		began, requestedAt := time.Now(), t.leader.o.Clock.Now()
		listed, err := t.leader.o.List.List(ctx, func(part []jobsched.WorkerEntry) { t.postDraining(ctx, part) })
		if err == nil {
			listed.RequestedAt = requestedAt
			t.workerCount.Store(int64(len(listed.Workers)))
			t.postStored(ctx, listed)
			t.exportEntryCounts(ctx)
		} else {
			t.leader.log.WithError(err).Debug("workers not read; retrying")
		}
		Pause(ctx, interval-min(time.Since(began), interval/2))
	}
}

// postDraining posts the draining workers of a part of the list, so that nothing is started
// on them while the rest of a long list is read.
func (t *term) postDraining(ctx context.Context, part []jobsched.WorkerEntry) {
	var draining jobsched.WorkersDraining
	for _, e := range part {
		if e.Draining {
			draining.Workers = append(draining.Workers, e)
		}
	}
	if len(draining.Workers) > 0 {
		t.postStored(ctx, draining)
	}
}

// followConfig passes each newer configuration to the machine.
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
