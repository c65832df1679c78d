package jobforecast

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Forecast tells how jobs that are handed in now would be served. It has no entry for a
// queue whose tasks find room.
type Forecast struct {
	// Epoch is that of the leader that made it, MadeAtMs when, as Unix time in
	// milliseconds.
	Epoch    model.Epoch      `json:"epoch"`
	MadeAtMs int64            `json:"madeAtMs"`
	Queues   map[string]Queue `json:"queues"`
}

// Queue is the forecast for one queue.
type Queue struct {
	// Share is the share of arriving jobs that can be served while they are of use to
	// their callers, InTime the share that can be served within their objective. Jobs
	// between the two are served after the others.
	Share  float64 `json:"share"`
	InTime float64 `json:"inTime"`
	// DelayMs is how long the tasks of a new job would wait for workers, AllowanceMs
	// how long a job of the queue may take on average, in milliseconds.
	DelayMs     int64 `json:"delayMs"`
	AllowanceMs int64 `json:"allowanceMs"`
	// Arriving and Finishing are the work that callers hand in and that workers finish,
	// in thousandths of a core; both are for the log.
	Arriving  int64 `json:"arriving"`
	Finishing int64 `json:"finishing"`
	// Waiting holds the smallest tasks for which there is no room on any worker.
	Waiting []TaskKind `json:"waiting,omitempty"`
	// Free and FreeBestEffort count the workers by what new tasks, and new best-effort
	// tasks, find free there; empty if that is not known.
	Free           FreeCounts `json:"free,omitempty"`
	FreeBestEffort FreeCounts `json:"freeBestEffort,omitempty"`
	// LongRunning is nil unless long-running tasks have found no room for longer than
	// their job may wait.
	LongRunning *LongRunning `json:"longRunning,omitempty"`
}

// LongRunning is the forecast for jobs that run until they are canceled.
type LongRunning struct {
	// Room is the processor capacity that new long-running tasks may be committed, in
	// thousandths of a core.
	Room int64 `json:"room"`
	// WaitMs is the longest wait of such a task for a worker, in milliseconds.
	WaitMs int64 `json:"waitMs"`
}

// Demand is what the leader sees of a queue besides what its Meter measures.
type Demand struct {
	// Held is the processor capacity that the queue's attempts hold now, in thousandths
	// of a core.
	Held float64
	// Ahead is the work of tasks that could start now if there were room, of jobs that
	// can still meet their objective, in thousandths of a core times milliseconds.
	Ahead float64
	// AheadOfUse is the same of all jobs that can still be of use to their callers.
	AheadOfUse float64
	// Waiting, Free and FreeBestEffort are as in Queue.
	Waiting              []TaskKind
	Free, FreeBestEffort FreeCounts
}

const (
	// minShare keeps a few jobs coming, so that the forecast notices when workers serve
	// the queue again.
	minShare = 0.05
	// maxRise is how many times its last value the share may be: a small share is
	// measured by few jobs.
	maxRise = 1.5
	// delayPart is the part of the time that jobs have beyond their own run time that
	// they are to spend waiting, on average: waits differ between jobs, and each step
	// of a job waits.
	delayPart = 0.4
	// minSlackPart is the smallest time beyond its run time that a job is assumed to
	// have, as a part of its allowance.
	minSlackPart = 0.25
	// maxExtraPart is the largest part of the admissible work that jobs beyond the share
	// take from it: they are small ones that find room, and the large ones are to be
	// served as well.
	maxExtraPart = 0.25
	// fillTime is the time in which less work than wanted ahead is made up for: that
	// after which a change of the share shows at the leader.
	fillTime = 500 * time.Millisecond
	// maxFillPart bounds that, as a part of the work that workers finish. Where tasks run
	// slower than estimated, jobs turn late before their work is seen to wait.
	maxFillPart = 0.5
	// drainTime is the shortest time in which more work than wanted ahead is drained.
	drainTime = 1500 * time.Millisecond
)

// Forecast makes the next forecast for the meter's queue.
func (m *Meter) Forecast(d Demand) Queue {
	finishing := d.Held * m.efficiency()
	arriving := m.arriving()
	q := Queue{
		Share: 1, AllowanceMs: int64(m.meanAllowanceMs), Arriving: int64(arriving), Finishing: int64(finishing),
		Waiting: d.Waiting, Free: d.Free, FreeBestEffort: d.FreeBestEffort, DelayMs: int64(m.meanAllowanceMs),
	}
	if finishing > 0 {
		q.DelayMs = int64(min(d.Ahead/finishing, 2*m.meanAllowanceMs))
	}
	q.InTime = 1
	if arriving > 0 {
		q.InTime = m.share(d.Ahead, finishing, m.meanSlackMs) / arriving
		q.Share = m.share(d.AheadOfUse, finishing, m.meanSlackOfUseMs) / arriving
	}
	q.Share = min(max(q.Share, q.InTime, minShare), maxRise*m.Share(), 1)
	q.InTime = min(max(q.InTime, minShare), q.Share)
	copy(m.shares[1:], m.shares[:])
	m.shares[0] = q.Share
	return q
}

// share returns the arriving work of which a share may be accepted, in thousandths of a
// core: the admissible work, less that of jobs that are accepted beyond the share.
func (m *Meter) share(ahead, finishing, slackMs float64) float64 {
	admissible := m.admissible(ahead, finishing, slackMs)
	return admissible - min(m.extra.PerMs(), maxExtraPart*admissible)
}

// admissible returns the work that may be accepted of jobs that have the given time
// beyond their own run time, in thousandths of a core: what workers finish, more if
// little work is ahead and less if much is.
func (m *Meter) admissible(ahead, finishing, slackMs float64) float64 {
	slackMs = max(slackMs, minSlackPart*m.meanAllowanceMs)
	missing := delayPart*slackMs*finishing - ahead
	if missing > 0 {
		return finishing + min(missing/float64(fillTime.Milliseconds()), maxFillPart*finishing)
	}
	return finishing + missing/max(slackMs, float64(drainTime.Milliseconds()))
}
