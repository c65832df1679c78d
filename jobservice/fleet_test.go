package jobservice

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

func rosterOf(milliCPU int64) []jobsched.RosterEntry {
	return []jobsched.RosterEntry{{WorkerEntry: jobsched.WorkerEntry{
		Incarnation: model.Incarnation{ID: "w"}, Service: "pool", Labels: []string{"a"}, Capacity: model.Resources{MilliCPU: milliCPU, MemoryMB: 1000},
	}}}
}

// Guards against the permanent rejection of jobs while workers report a reduced
// capacity: all workers showed a quarter of their size for a while, and jobs that fit
// at any other time were rejected.
func TestShrunkWorkersTurnNothingAway(t *testing.T) {
	store := newMemStore()
	view := fleetView{log: logrus.NewEntry(logrus.New()), metrics: NewMetrics(prometheus.NewRegistry())}
	view.log.Logger.SetOutput(&lockedBuffer{})
	roster := rosterOf(500)
	roster[0].Full = model.Resources{MilliCPU: 2000, MemoryMB: 1000}
	store.write(fleetChange(roster))
	if err := view.check(context.Background(), store, time.Now(), "pool", testSpec()); err != nil {
		t.Errorf("a job that fits the worker at its full size: %v", err)
	}
}

// TestUnreadableFleetRejectsNoJob guards against a stored fleet that another writer
// has damaged. The symptom is that jobs are rejected that workers have room for, or
// that every submission fails.
func TestUnreadableFleetRejectsNoJob(t *testing.T) {
	store := newMemStore()
	view := fleetView{log: logrus.NewEntry(logrus.New()), metrics: NewMetrics(prometheus.NewRegistry())}
	view.log.Logger.SetOutput(&lockedBuffer{})
	spec := testSpec()
	now := time.Now()
	check := func() error {
		now = now.Add(2 * maxFleetAge)
		return view.check(context.Background(), store, now, "pool", spec)
	}
	var infeasible *job.InfeasibleError
	if err := check(); err != nil {
		t.Errorf("no fleet stored: %v", err)
	}
	store.write(fleetChange(rosterOf(500)))
	if err := check(); !errors.As(err, &infeasible) {
		t.Errorf("workers too small: %v, want the job rejected", err)
	}
	store.write(port.Op{Key: fleetKey, Value: []byte("{")})
	if err := check(); err != nil {
		t.Errorf("damaged: %v", err)
	}
	store.write(fleetChange(rosterOf(2000)))
	if err := check(); err != nil {
		t.Errorf("a worker that is large enough: %v", err)
	}
}
