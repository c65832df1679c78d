package jobservice

import (
	"context"
	"strings"
	"testing"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// refusingStore refuses a transaction that writes the progress of a job that is not
// over, for good.
type refusingStore struct {
	*memStore
	id   job.ID
	kind port.StoreErrorKind
}

func (s *refusingStore) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	for _, c := range changes {
		if c.Key == progressKey(s.id) && strings.Contains(string(c.Value), `"running"`) {
			return port.TxnResult{}, &port.StoreError{Call: "Txn", Kind: s.kind, Outcome: port.OutcomeNotDone}
		}
	}
	return s.memStore.Txn(ctx, conditions, changes)
}

// TestRefusedRecordEndsItsJobOnly guards against a commit that is repeated forever
// because the store refuses one record for good: no other job was completed.
func TestRefusedRecordEndsItsJobOnly(t *testing.T) {
	const refusedJob = job.ID("00000000000000cc")
	for _, kind := range []port.StoreErrorKind{port.StoreTooLarge, port.StoreInvalidCall} {
		t.Run(string(kind), func(t *testing.T) {
			d := newDeployment(t)
			q := testQueue()
			spec := testSpec()
			// Its second step fits on no worker, so that it is stored as running.
			spec.Steps = append(spec.Steps, job.Step{
				Count: 1, Size: model.Resources{MilliCPU: 20000, MemoryMB: 100}, After: []int{0},
			})
			if err := d.intake.Submit(t.Context(), refusedJob, spec, &q, 1); err != nil {
				t.Fatal(err)
			}
			d.lead(func(o *Options) { o.Store = &refusingStore{memStore: d.store, id: refusedJob, kind: kind} })
			d.awaitCompleted(intactJob)
			d.eventually("the job at fault failed", func() bool {
				state, err := d.intake.State(t.Context(), nil, refusedJob)
				return err == nil && state == job.Failed
			})
			d.submit(damagedJob)
			d.awaitCompleted(damagedJob)
			if !d.logs("its record cannot be stored: store Txn: " + string(kind)) {
				t.Error("no line of the log says why the job was ended")
			}
			if n := d.refusedCommits(); n < 2 {
				t.Errorf("%d refused commits were counted", n)
			}
		})
	}
}

// logs reports whether a line of the log has a text.
func (d *deployment) logs(text string) bool {
	d.log.mu.Lock()
	defer d.log.mu.Unlock()
	return strings.Contains(d.log.text.String(), text)
}

// refusedCommits returns how many commits were counted as refused.
func (d *deployment) refusedCommits() int {
	families, err := d.registry.Gather()
	if err != nil {
		d.t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "guavarill_commits_refused_total" {
			return int(f.GetMetric()[0].GetCounter().GetValue())
		}
	}
	return 0
}

// TestOversizedEntriesAreNamed checks that an entry which is larger than the store
// accepts is named before it is sent.
func TestOversizedEntriesAreNamed(t *testing.T) {
	const id = job.ID("00000000000000cc")
	large := make([]byte, port.MaxValueBytes+1)
	tests := []struct {
		key  string
		want jobsched.CommitRefused
	}{
		{progressKey(id), jobsched.CommitRefused{Jobs: []job.ID{id}}},
		{rosterKey, jobsched.CommitRefused{Roster: true}},
		{fleetKey, jobsched.CommitRefused{Roster: true}},
		{interferenceKey, jobsched.CommitRefused{Learned: true}},
	}
	for _, test := range tests {
		changes := []port.Op{{Key: ledgerKey}, {Key: test.key, Value: large}, {Key: progressKey("00000000000000dd"), Value: large[1:]}}
		got := oversized(7, changes)
		switch {
		case got == nil:
			t.Errorf("%s: not named", test.key)
		case got.Number != 7 || len(got.Jobs) != len(test.want.Jobs) || got.Roster != test.want.Roster || got.Learned != test.want.Learned:
			t.Errorf("%s: %+v", test.key, got)
		}
	}
	if got := oversized(7, []port.Op{{Key: progressKey(id), Value: large[1:]}}); got != nil {
		t.Errorf("a value of the largest size: %+v", got)
	}
}

// closedRosterRefused is a store that refuses a roster with a closed worker, as in a
// leader's last commit.
type closedRosterRefused struct{ *memStore }

func (s closedRosterRefused) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	for _, c := range changes {
		if c.Key == rosterKey && strings.Contains(string(c.Value), `"Closed":true`) {
			return port.TxnResult{}, &port.StoreError{Call: "Txn", Kind: port.StoreTooLarge, Outcome: port.OutcomeNotDone}
		}
	}
	return s.memStore.Txn(ctx, conditions, changes)
}

// TestLastCommitWithARefusedRoster checks that a leader whose last roster the store
// refuses stores the rest, and that the next leader doesn't rely on the roster.
func TestLastCommitWithARefusedRoster(t *testing.T) {
	d := newDeployment(t)
	d.lead(func(o *Options) { o.Store = closedRosterRefused{d.store} })
	d.awaitCompleted(intactJob)
	d.store.write(port.Op{Key: membersPrefix + "large", Value: encodeRecord(Relay{Address: "large", Weight: 4})})
	d.eventually("leadership released with the last commit stored", func() bool {
		return d.log.contains("complete=true") && d.log.contains(joblog.MessageLeadershipReleased)
	})
	if n := d.refusedCommits(); n < finalCommitTries-1 {
		t.Errorf("%d refused commits were counted", n)
	}
	d.submit(damagedJob)
	d.awaitCompleted(damagedJob)
	if d.log.contains("rosterStands=true") {
		t.Error("the next leader relies on a roster that was not stored")
	}
}
