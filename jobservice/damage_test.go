package jobservice

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// The jobs of these tests: the records of one are damaged, and the other is to
// complete whatever is.
const (
	damagedJob = job.ID("00000000000000aa")
	soundJob   = job.ID("00000000000000bb")
)

// damages are values that are no record of any kind, by what is wrong.
var damages = map[string]string{
	"empty":      "",
	"no text":    "\xff\xfe\x00",
	"cut off":    `{"daemon":"a","spec":{"steps":[{"cou`,
	"null":       "null",
	"a string":   `"text"`,
	"a number":   "7",
	"other type": `{"daemon":7,"incarnation":7,"spec":7,"state":7,"address":7}`,
}

// quickWorker runs tasks in no time.
type quickWorker struct {
	mu     sync.Mutex
	ended  []jobsched.EndedAttempt
	starts map[job.ID]int
}

func (w *quickWorker) Renew(_ context.Context, r jobsched.Renew) (jobsched.Verdict, jobsched.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	report := jobsched.Report{ClockMs: time.Now().UnixMilli()}
	for _, e := range w.ended {
		if e.Number > r.AckedEnds {
			report.Ended = append(report.Ended, e)
		}
	}
	return jobsched.VerdictDone, report
}

func (w *quickWorker) Start(_ context.Context, s jobsched.Start) (jobsched.Verdict, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[s.Key.Job]++
	w.ended = append(w.ended, jobsched.EndedAttempt{
		Number: int64(len(w.ended) + 1), Key: s.Key, Attempt: s.Attempt, Cause: jobsched.EndDone,
	})
	return jobsched.VerdictDone, time.Now().UnixMilli()
}

func (w *quickWorker) Stop(context.Context, jobsched.Stop) jobsched.Verdict {
	return jobsched.VerdictDone
}

func (w *quickWorker) Throttle(context.Context, jobsched.Throttle) jobsched.Verdict {
	return jobsched.VerdictDone
}

func (w *quickWorker) startsOf(id job.ID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// List implements port.WorkerList.
func (w *quickWorker) List(context.Context) (jobsched.WorkersListed, error) {
	return jobsched.WorkersListed{Workers: []jobsched.WorkerEntry{{
		Incarnation: model.Incarnation{ID: "w"}, Service: "pool", Address: "w", Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 64000},
	}}}, nil
}

// fixedConfig is a port.ConfigFeed whose configuration never changes.
type fixedConfig struct{ config *job.Config }

func (f fixedConfig) Current() *job.Config     { return f.config }
func (f fixedConfig) Changed() <-chan struct{} { return nil }

// deployment is a leader, or one that would be, with a worker and a store.
type deployment struct {
	t        *testing.T
	store    *memStore
	worker   *quickWorker
	intake   *Intake
	registry *prometheus.Registry
	log      *lockedBuffer
}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns how many lines of a level name a key.
func (b *lockedBuffer) lines(level, key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, "level="+level) && strings.Contains(line, "key="+key) {
			n++
		}
	}
	return n
}

func testQueue() job.Queue { return job.Queue{Name: "q", Service: "pool", MaxAttempts: 3} }

func testSpec() *job.Spec {
	return &job.Spec{Steps: []job.Step{{Count: 1, Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}}}}
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{
		t: t, store: newMemStore(), worker: &quickWorker{starts: make(map[job.ID]int)},
		registry: prometheus.NewRegistry(), log: &lockedBuffer{},
	}
	d.intake = NewIntake(d.store, BootClock{}, logrus.New(), NewMetrics(prometheus.NewRegistry()))
	d.submit(soundJob)
	return d
}

func (d *deployment) submit(id job.ID) {
	d.t.Helper()
	q := testQueue()
	if err := d.intake.Submit(d.t.Context(), id, testSpec(), &q, 1); err != nil {
		d.t.Fatal(err)
	}
}

// lead starts a daemon that stands for the lead, with some of its options changed.
func (d *deployment) lead(change ...func(*Options)) {
	q := testQueue()
	log := logrus.New()
	log.SetOutput(d.log)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableQuote: true})
	o := Options{
		Daemon: "a", Incarnation: "1", Processors: 1, Store: d.store, Workers: d.worker, List: d.worker,
		Config: fixedConfig{&job.Config{
			Version: 1, Queues: map[string]*job.Queue{"q": &q}, Services: map[string]*job.Service{"pool": {Name: "pool"}},
		}},
		Relays: deafCarriers{}, Clock: BootClock{}, Log: log, Metrics: NewMetrics(d.registry), LeaderTTL: time.Second,
		Machine: jobsched.Options{
			Lease: 300 * time.Millisecond, LeaderTTL: 200 * time.Millisecond, StopTime: 100 * time.Millisecond,
			KeepFinal: time.Minute, ThrottleDelay: 100 * time.Millisecond,
		},
	}
	for _, c := range change {
		c(&o)
	}
	l := NewLeader(o)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	d.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

type deafCarriers struct{}

func (deafCarriers) SetRelays([]Relay) {}

// eventually waits for a condition; the limit is far beyond what it takes.
func (d *deployment) eventually(what string, ok func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.t.Fatalf("%s: not seen", what)
}

func (d *deployment) awaitCompleted(id job.ID) {
	d.t.Helper()
	d.eventually("job "+string(id)+" completed", func() bool {
		state, err := d.intake.State(d.t.Context(), id)
		return err == nil && state == job.Completed
	})
}

// unreadable returns the count of records of a kind that could not be read.
func (d *deployment) unreadable(kind string) int {
	families, err := d.registry.Gather()
	if err != nil {
		d.t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "guavarill_unreadable_records_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			if m.GetLabel()[0].GetValue() == kind {
				return int(m.GetCounter().GetValue())
			}
		}
	}
	return 0
}

// TestDamagedRecords damages what is stored, as another writer may.
func TestDamagedRecords(t *testing.T) {
	t.Run("every entry", everyEntryDamaged)
	t.Run("job", damagedJobIsNotKnown)
	t.Run("progress of a canceled job", damagedProgressOfACanceledJob)
	t.Run("new job", damagedNewJob)
	t.Run("progress of another shape", progressOfAnotherShape)
	t.Run("leader on a lease", leaderKeyOnALease)
	t.Run("ledger in a term", ledgerDamagedInATerm)
	t.Run("counts", countsOfADamagedLedger)
}

// everyEntryDamaged
//
// Symptom: jobs wait and no daemon leads, for as long as one record is damaged.
// Events: another writer puts a value into one of guavarill's keys that is no
// such record; the leader is lost. Cause: a take-over failed with whatever it
// could not read, and was begun anew, or waited for a lease that there is not.
func everyEntryDamaged(t *testing.T) {
	entries := []struct{ key, kind string }{
		{leaderKey, "leader"},
		{ledgerKey, "ledger"},
		{rosterKey, "roster"},
		{learnedKey, "interference"},
		{acceptedKey(damagedJob), "job"},
		{progressKey(damagedJob), "progress"},
		{acceptedPrefix + "no-id", "job"},
		{progressPrefix + "no-id", "progress"},
		{membersPrefix + "b", "member"},
	}
	for _, entry := range entries {
		for damage, value := range damages {
			t.Run(entry.key+" "+damage, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.store.write(port.Op{Key: entry.key, Value: []byte(value)})
				d.lead()
				d.awaitCompleted(soundJob)
				d.eventually("count", func() bool { return d.unreadable(entry.kind) == 1 })
				// The records are looked at again meanwhile.
				time.Sleep(2 * asideInterval)
				if n := d.unreadable(entry.kind); n != 1 {
					t.Errorf("counted %d times", n)
				}
				if n := d.log.lines("error", entry.key); n != 1 {
					t.Errorf("%d lines of log name the key", n)
				}
			})
		}
	}
}

// damagedJobIsNotKnown
//
// Symptom: a caller is told that a job is accepted, canceled or unknown, and it
// is never run, or is started twice. Events: another writer damages one of the
// two records of a job; callers ask for it, a leader takes over, and the record
// is repaired. Cause: a record that cannot be read was taken for one that is not
// there, or for a sound one.
func damagedJobIsNotKnown(t *testing.T) {
	for _, key := range []string{acceptedKey(damagedJob), progressKey(damagedJob)} {
		for damage, value := range damages {
			t.Run(key+" "+damage, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.submit(damagedJob)
				sound, err := d.store.Get(t.Context(), key)
				if err != nil {
					t.Fatal(err)
				}
				d.store.write(port.Op{Key: key, Value: []byte(value)})
				d.lead()
				d.awaitCompleted(soundJob)
				d.checkNotKnown(key)
				if n := d.worker.startsOf(damagedJob); n != 0 {
					t.Errorf("%d tasks were started", n)
				}
				d.store.write(port.Op{Key: key, Value: sound.Value, Delete: sound.ModRevision == 0})
				d.awaitCompleted(damagedJob)
				if n := d.worker.startsOf(damagedJob); n != 1 {
					t.Errorf("%d tasks were started, want 1", n)
				}
			})
		}
	}
}

// checkNotKnown checks that callers are promised nothing of the damaged job.
func (d *deployment) checkNotKnown(key string) {
	d.t.Helper()
	ctx, q := d.t.Context(), testQueue()
	_, state := d.intake.State(ctx, damagedJob)
	answers := map[string]error{"state": state, "hand in": d.intake.Submit(ctx, damagedJob, testSpec(), &q, 1)}
	if key == acceptedKey(damagedJob) {
		answers["cancel"] = d.intake.Cancel(ctx, damagedJob)
	}
	for call, err := range answers {
		var uncertain *UncertainError
		if !errors.As(err, &uncertain) {
			d.t.Errorf("%s: %v, want that it is not known", call, err)
		}
	}
}

// damagedProgressOfACanceledJob: a cancel is stored in the job's accepted record; when that can be read, the job
// ends as canceled whatever became of its progress.
func damagedProgressOfACanceledJob(t *testing.T) {
	d := newDeployment(t)
	d.submit(damagedJob)
	d.store.write(port.Op{Key: progressKey(damagedJob), Value: []byte("7")})
	d.lead()
	d.awaitCompleted(soundJob)
	if err := d.intake.Cancel(t.Context(), damagedJob); err != nil {
		t.Fatal(err)
	}
	d.eventually("canceled", func() bool {
		state, err := d.intake.State(t.Context(), damagedJob)
		return err == nil && state == job.Canceled
	})
	if n := d.worker.startsOf(damagedJob); n != 0 {
		t.Errorf("%d tasks were started", n)
	}
}

// damagedNewJob: a job whose record is damaged before the leader has read it is taken in when
// the record is repaired.
func damagedNewJob(t *testing.T) {
	d := newDeployment(t)
	d.lead()
	d.awaitCompleted(soundJob)
	q := testQueue()
	record := job.Accepted{Spec: *testSpec(), Queue: q, ConfigVersion: 1, AcceptedAtMs: time.Now().UnixMilli()}
	d.store.write(port.Op{Key: acceptedKey(damagedJob), Value: []byte("7")})
	d.eventually("count", func() bool { return d.unreadable("job") == 1 })
	d.store.write(port.Op{Key: acceptedKey(damagedJob), Value: record.Encode()})
	d.awaitCompleted(damagedJob)
}

// progressOfAnotherShape: progress that belongs to another job's steps is none of this job's.
func progressOfAnotherShape(t *testing.T) {
	d := newDeployment(t)
	d.submit(damagedJob)
	d.store.write(port.Op{Key: progressKey(damagedJob), Value: []byte(
		`{"state":"running","occurrences":{"0":{"steps":[{"done":"11111"}]}}}`)})
	d.lead()
	d.awaitCompleted(soundJob)
	d.eventually("count", func() bool { return d.unreadable("progress") == 1 })
	if n := d.worker.startsOf(damagedJob); n != 0 {
		t.Errorf("%d tasks were started", n)
	}
}

// leaderKeyOnALease: the daemon that wrote the key may still lead,
// so it is waited for until its lease ends.
func leaderKeyOnALease(t *testing.T) {
	d := newDeployment(t)
	lease, err := d.store.GrantLease(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	// The name of the daemon can be read, and is the one that asks.
	d.store.write(port.Op{Key: leaderKey, Value: []byte(`{"daemon":"a","incarnation":7}`), Lease: lease})
	d.lead()
	time.Sleep(3 * leaseCallTimeout / 2)
	if n := d.worker.startsOf(soundJob); n != 0 {
		t.Errorf("%d tasks were started beside another leader", n)
	}
	if err := d.store.RevokeLease(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	d.awaitCompleted(soundJob)
}

// ledgerDamagedInATerm: another writer overwrites the ledger while a leader
// is at work. Whether the commit in flight was made cannot be told any more; the
// term ends, and the next one reads what is stored and goes on.
func ledgerDamagedInATerm(t *testing.T) {
	d := newDeployment(t)
	d.lead()
	d.awaitCompleted(soundJob)
	d.store.write(port.Op{Key: ledgerKey, Value: []byte("7")})
	if _, err := d.intake.WaitingJobs(t.Context(), "q"); err == nil {
		// The next commit may have mended it by now.
		t.Log("counts were answered")
	}
	d.submit(damagedJob)
	d.awaitCompleted(damagedJob)
	if n := d.unreadable("ledger"); n != 1 {
		t.Errorf("counted %d times", n)
	}
}

// countsOfADamagedLedger: a ledger that cannot be read says
// nothing of the jobs that wait, and not that none do.
func countsOfADamagedLedger(t *testing.T) {
	for damage, value := range damages {
		d := newDeployment(t)
		d.store.write(port.Op{Key: ledgerKey, Value: []byte(value)})
		_, err := d.intake.WaitingJobs(t.Context(), "q")
		var uncertain *UncertainError
		if !errors.As(err, &uncertain) {
			t.Errorf("%s: %v, want that it is not known", damage, err)
		}
	}
}
