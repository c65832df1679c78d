package jobservice

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// fleetOf returns what the workers of a roster have at their full size: a job that
// fits then is not hopeless because they are shrunk for a while.
func fleetOf(roster []jobsched.RosterEntry) *job.Fleet {
	f := new(job.Fleet)
	for _, w := range roster {
		f.Add(w.Service, w.Labels, w.FullCapacity())
	}
	return f
}

// fleetAge is how old the fleet may be by which a job is turned away: workers
// with more room, or another label, may have come since.
const fleetAge = 500 * time.Millisecond

// fleetView is a daemon's view of the fleet, which a leader writes down with its
// roster. It is read when a job does not fit what is known of it, so that jobs
// cost no call to the store on the usual day.
type fleetView struct {
	log     *logrus.Entry
	metrics *Metrics
	read    atomic.Pointer[readFleet]
}

type readFleet struct {
	fleet job.Fleet
	at    time.Time
}

// check returns a *job.UnservableError for a job that no worker could ever run.
// What cannot be found out now is taken in: to turn a job away that could have
// been done is worse than to let one wait.
func (v *fleetView) check(ctx context.Context, store RecordStore, now time.Time, service string, spec *job.Spec) error {
	if known := v.read.Load(); known != nil {
		err := known.fleet.Check(service, spec)
		fits := err == nil && known.fleet.HasService(service)
		if fits || now.Sub(known.at) < fleetAge {
			return err
		}
	}
	kv, err := store.Get(ctx, fleetKey)
	if err != nil {
		v.log.WithError(err).Debug("fleet not read; the job is taken in unchecked")
		return nil
	}
	fresh := &readFleet{at: now}
	if kv.ModRevision != 0 {
		if err := job.DecodeRecord(kindFleet, kv.Value, &fresh.fleet); err != nil {
			v.metrics.ReportUnreadable(v.log, kindFleet, kv, err, "jobs are taken in that no worker could run")
			return nil
		}
	}
	v.read.Store(fresh)
	return fresh.fleet.Check(service, spec)
}

// fleetChange returns the write of the fleet that belongs to a roster.
func fleetChange(roster []jobsched.RosterEntry) port.Op {
	return port.Op{Key: fleetKey, Value: encodeRecord(fleetOf(roster))}
}
