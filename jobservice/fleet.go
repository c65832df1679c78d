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

// fleetOf returns the resources of a roster's workers at their full size: a job that
// fits then is not rejected because the workers offer less for a while.
func fleetOf(roster []jobsched.RosterEntry) *job.Fleet {
	f := new(job.Fleet)
	for _, w := range roster {
		f.Add(w.Service, w.Labels, w.FullCapacity())
	}
	return f
}

// maxFleetAge is how old the fleet may be by which a job is rejected: workers with
// more room, or another label, may have joined since.
const maxFleetAge = 500 * time.Millisecond

// fleetView is a daemon's cache of the fleet, which a leader stores with its roster.
// It is refreshed when a job does not fit the cached fleet, so that jobs normally
// cost no call to the store.
type fleetView struct {
	log     *logrus.Entry
	metrics *Metrics
	read    atomic.Pointer[fleetSnapshot]
}

// fleetSnapshot is the fleet as it was read at a time.
type fleetSnapshot struct {
	fleet job.Fleet
	at    time.Time
}

// check returns a *job.InfeasibleError for a job that no worker could ever run. A job
// that cannot be checked now is accepted, because it is worse to reject a job that
// could run than to let one wait.
func (v *fleetView) check(ctx context.Context, store RecordStore, now time.Time, service string, spec *job.Spec) error {
	if known := v.read.Load(); known != nil {
		err := known.fleet.Check(service, spec)
		fits := err == nil && known.fleet.HasService(service)
		if fits || now.Sub(known.at) < maxFleetAge {
			return err
		}
	}
	kv, err := store.Get(ctx, fleetKey)
	if err != nil {
		v.log.WithError(err).Debug("fleet not read; the job is accepted unchecked")
		return nil
	}
	fresh := &fleetSnapshot{at: now}
	if kv.ModRevision != 0 {
		if err := job.DecodeRecord(kindFleet, kv.Value, &fresh.fleet); err != nil {
			v.metrics.ReportUnreadable(v.log, kindFleet, kv, err, "jobs that no worker could run are accepted")
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
