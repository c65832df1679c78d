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

// All workers showed a quarter of their size for a while, and jobs that they have
// room for at any other time were turned away for good.
func TestShrunkWorkersTurnNothingAway(t *testing.T) {
	store := newMemStore()
	view := fleetView{log: logrus.NewEntry(logrus.New()), metrics: NewMetrics(prometheus.NewRegistry())}
	view.log.Logger.SetOutput(&lockedBuffer{})
	roster := rosterOf(500)
	roster[0].Full = model.Resources{MilliCPU: 2000, MemoryMB: 1000}
	store.write(fleetChange(roster))
	if err := view.check(context.Background(), store, time.Now(), "pool", testSpec()); err != nil {
		t.Errorf("a job that fits when the worker has its size again: %v", err)
	}
}

// TestFleetThatCannotBeReadTurnsNothingAway: another writer damages what is
// written of the fleet. Symptom if broken: jobs are turned away that workers have
// room for, or every hand-in fails.
func TestFleetThatCannotBeReadTurnsNothingAway(t *testing.T) {
	store := newMemStore()
	view := fleetView{log: logrus.NewEntry(logrus.New()), metrics: NewMetrics(prometheus.NewRegistry())}
	view.log.Logger.SetOutput(&lockedBuffer{})
	spec := testSpec()
	now := time.Now()
	check := func() error {
		now = now.Add(2 * fleetAge)
		return view.check(context.Background(), store, now, "pool", spec)
	}
	var unservable *job.InfeasibleError
	if err := check(); err != nil {
		t.Errorf("nothing written: %v", err)
	}
	store.write(fleetChange(rosterOf(500)))
	if err := check(); !errors.As(err, &unservable) {
		t.Errorf("workers too small: %v, want it turned away", err)
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
