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

// The jobs of these tests: the records of damagedJob are damaged, and intactJob must
// complete nevertheless.
const (
	damagedJob = job.ID("00000000000000aa")
	intactJob  = job.ID("00000000000000bb")
)

// damagedValues holds values that are not a record of any kind, by their defect.
var damagedValues = map[string]string{
	"empty":      "",
	"no text":    "\xff\xfe\x00",
	"cut off":    `{"daemon":"a","spec":{"steps":[{"cou`,
	"null":       "null",
	"a string":   `"text"`,
	"a number":   "7",
	"other type": `{"daemon":7,"incarnation":7,"spec":7,"state":7,"address":7}`,
}

// instantWorker completes each task as soon as it is started.
type instantWorker struct {
	mu     sync.Mutex
	ended  []jobsched.EndedAttempt
	starts map[job.ID]int
}

func (w *instantWorker) Renew(_ context.Context, r jobsched.Renew) (jobsched.Verdict, jobsched.Report) {
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

func (w *instantWorker) Start(_ context.Context, s jobsched.Start) (jobsched.Verdict, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[s.Key.Job]++
	w.ended = append(w.ended, jobsched.EndedAttempt{
		Number: int64(len(w.ended) + 1), Key: s.Key, Attempt: s.Attempt, Cause: jobsched.EndDone,
	})
	return jobsched.VerdictDone, time.Now().UnixMilli()
}

func (w *instantWorker) Stop(context.Context, jobsched.Stop) jobsched.Verdict {
	return jobsched.VerdictDone
}

func (w *instantWorker) Throttle(context.Context, jobsched.Throttle) jobsched.Verdict {
	return jobsched.VerdictDone
}

func (w *instantWorker) startsOf(id job.ID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// List implements port.WorkerList.
func (w *instantWorker) List(context.Context, func([]jobsched.WorkerEntry)) (jobsched.WorkersListed, error) {
	return jobsched.WorkersListed{Workers: []jobsched.WorkerEntry{{
		Incarnation: model.Incarnation{ID: "w"}, Service: "pool", Address: "w", Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 64000},
	}}}, nil
}

// fixedConfig is a port.ConfigFeed whose configuration never changes.
type fixedConfig struct{ config *job.Config }

func (f fixedConfig) Current() *job.Config     { return f.config }
func (f fixedConfig) Changed() <-chan struct{} { return nil }

// deployment is a daemon that campaigns for leadership, with a worker and a store.
type deployment struct {
	t        *testing.T
	store    *memStore
	worker   *instantWorker
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

// lines returns how many lines of a log level name a key.
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
		t: t, store: newMemStore(), worker: &instantWorker{starts: make(map[job.ID]int)},
		registry: prometheus.NewRegistry(), log: &lockedBuffer{},
	}
	d.intake = NewIntake(d.store, BootClock{}, logrus.New(), NewMetrics(prometheus.NewRegistry()))
	d.submit(intactJob)
	return d
}

func (d *deployment) submit(id job.ID) {
	d.t.Helper()
	q := testQueue()
	if err := d.intake.Submit(d.t.Context(), id, testSpec(), &q, 1); err != nil {
		d.t.Fatal(err)
	}
}

// lead starts a daemon that campaigns for leadership, with some of its options
// changed.
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
		Relays: noRelays{}, Clock: BootClock{}, Log: log, Metrics: NewMetrics(d.registry), LeaderTTL: time.Second,
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

type noRelays struct{}

func (noRelays) SetRelays([]Relay) {}

// eventually waits for a condition. The limit is far beyond the time that any
// condition takes.
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
		state, err := d.intake.State(d.t.Context(), nil, id)
		return err == nil && state == job.Completed
	})
}

// unreadable returns how many records of a kind were counted as unreadable.
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

// TestDamagedRecords damages stored records, as another writer of the store may.
func TestDamagedRecords(t *testing.T) {
	t.Run("every entry", everyEntryDamaged)
	t.Run("job", damagedJobIsUncertain)
	t.Run("progress of a canceled job", damagedProgressOfACanceledJob)
	t.Run("new job", damagedNewJob)
	t.Run("progress of another shape", progressOfAnotherShape)
	t.Run("leader on a lease", leaderKeyOnALease)
	t.Run("ledger in a term", ledgerDamagedInATerm)
	t.Run("counts", countsOfADamagedLedger)
}

// everyEntryDamaged guards against a takeover that fails, and is restarted forever,
// because of a record that cannot be decoded, or that waits for a lease which does
// not exist. It happens when another writer puts a value into one of guavarill's keys
// that is not such a record and the leader is then lost. The symptom is that jobs
// wait and no daemon leads for as long as one record is damaged.
func everyEntryDamaged(t *testing.T) {
	entries := []struct{ key, kind string }{
		{leaderKey, "leader"},
		{ledgerKey, "ledger"},
		{rosterKey, "roster"},
		{interferenceKey, "interference"},
		{acceptedKey(damagedJob), "job"},
		{progressKey(damagedJob), "progress"},
		{acceptedPrefix + "no-id", "job"},
		{progressPrefix + "no-id", "progress"},
		{membersPrefix + "b", "member"},
	}
	for _, entry := range entries {
		for damage, value := range damagedValues {
			t.Run(entry.key+" "+damage, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.store.write(port.Op{Key: entry.key, Value: []byte(value)})
				d.lead()
				d.awaitCompleted(intactJob)
				d.eventually("count", func() bool { return d.unreadable(entry.kind) == 1 })
				// The records are read again in the meantime.
				time.Sleep(2 * recheckInterval)
				if n := d.unreadable(entry.kind); n != 1 {
					t.Errorf("counted %d times", n)
				}
				if n := d.log.lines("error", entry.key); n != 1 {
					t.Errorf("%d log lines name the key, want 1", n)
				}
			})
		}
	}
}

// damagedJobIsUncertain guards against a record that cannot be decoded being treated
// as absent, or as intact. Another writer damages one of the two records of a job;
// callers ask for the job, a leader takes over, and the record is repaired. The
// symptom is that a caller is told that the job is accepted, canceled or unknown, and
// it never runs, or is started twice.
func damagedJobIsUncertain(t *testing.T) {
	for _, key := range []string{acceptedKey(damagedJob), progressKey(damagedJob)} {
		for damage, value := range damagedValues {
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
				d.awaitCompleted(intactJob)
				d.checkUncertain(key)
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

// checkUncertain checks that callers get no definite answer about the damaged job.
func (d *deployment) checkUncertain(key string) {
	d.t.Helper()
	ctx, q := d.t.Context(), testQueue()
	_, state := d.intake.State(ctx, nil, damagedJob)
	answers := map[string]error{"state": state, "hand in": d.intake.Submit(ctx, damagedJob, testSpec(), &q, 1)}
	if key == acceptedKey(damagedJob) {
		answers["cancel"] = d.intake.Cancel(ctx, nil, damagedJob)
	}
	for call, err := range answers {
		var uncertain *UncertainError
		if !errors.As(err, &uncertain) {
			d.t.Errorf("%s: %v, want an UncertainError", call, err)
		}
	}
}

// damagedProgressOfACanceledJob checks that a canceled job ends as canceled even if
// its progress record is damaged: the cancellation is stored in the accepted record,
// which can be read.
func damagedProgressOfACanceledJob(t *testing.T) {
	d := newDeployment(t)
	d.submit(damagedJob)
	d.store.write(port.Op{Key: progressKey(damagedJob), Value: []byte("7")})
	d.lead()
	d.awaitCompleted(intactJob)
	if err := d.intake.Cancel(t.Context(), nil, damagedJob); err != nil {
		t.Fatal(err)
	}
	d.eventually("canceled", func() bool {
		state, err := d.intake.State(t.Context(), nil, damagedJob)
		return err == nil && state == job.Canceled
	})
	if n := d.worker.startsOf(damagedJob); n != 0 {
		t.Errorf("%d tasks were started", n)
	}
}

// damagedNewJob checks that a job whose record is damaged before the leader has read
// it is scheduled once the record is repaired.
func damagedNewJob(t *testing.T) {
	d := newDeployment(t)
	d.lead()
	d.awaitCompleted(intactJob)
	q := testQueue()
	record := job.Accepted{Spec: *testSpec(), Queue: q, ConfigVersion: 1, AcceptedAtMs: time.Now().UnixMilli()}
	d.store.write(port.Op{Key: acceptedKey(damagedJob), Value: []byte("7")})
	d.eventually("count", func() bool { return d.unreadable("job") == 1 })
	d.store.write(port.Op{Key: acceptedKey(damagedJob), Value: record.Encode()})
	d.awaitCompleted(damagedJob)
}

// progressOfAnotherShape checks that progress of another job's steps is not used as
// this job's.
func progressOfAnotherShape(t *testing.T) {
	d := newDeployment(t)
	d.submit(damagedJob)
	d.store.write(port.Op{Key: progressKey(damagedJob), Value: []byte(
		`{"state":"running","occurrences":{"0":{"steps":[{"done":"11111"}]}}}`)})
	d.lead()
	d.awaitCompleted(intactJob)
	d.eventually("count", func() bool { return d.unreadable("progress") == 1 })
	if n := d.worker.startsOf(damagedJob); n != 0 {
		t.Errorf("%d tasks were started", n)
	}
}

// leaderKeyOnALease checks that a damaged leader's key with a lease is not replaced
// before that lease ends, because the daemon that wrote the key may still lead.
func leaderKeyOnALease(t *testing.T) {
	d := newDeployment(t)
	lease, err := d.store.GrantLease(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	// The daemon's name can be decoded, and is that of the campaigning daemon.
	d.store.write(port.Op{Key: leaderKey, Value: []byte(`{"daemon":"a","incarnation":7}`), Lease: lease})
	d.lead()
	time.Sleep(3 * leaseCallTimeout / 2)
	if n := d.worker.startsOf(intactJob); n != 0 {
		t.Errorf("%d tasks were started while another daemon may lead", n)
	}
	if err := d.store.RevokeLease(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	d.awaitCompleted(intactJob)
}

// ledgerDamagedInATerm checks that scheduling continues after another writer has
// overwritten the ledger during a term. It is then unknown whether the commit in
// flight was made; the term ends, and the next one reads the stored state and
// continues.
func ledgerDamagedInATerm(t *testing.T) {
	d := newDeployment(t)
	d.lead()
	d.awaitCompleted(intactJob)
	d.store.write(port.Op{Key: ledgerKey, Value: []byte("7")})
	if _, err := d.intake.WaitingJobs(t.Context(), "q"); err == nil {
		// The next commit may have repaired the ledger by now.
		t.Log("counts were answered")
	}
	d.submit(damagedJob)
	d.awaitCompleted(damagedJob)
	if n := d.unreadable("ledger"); n != 1 {
		t.Errorf("counted %d times", n)
	}
}

// countsOfADamagedLedger checks that a ledger that cannot be decoded yields an error
// and not a count of no waiting jobs.
func countsOfADamagedLedger(t *testing.T) {
	for damage, value := range damagedValues {
		d := newDeployment(t)
		d.store.write(port.Op{Key: ledgerKey, Value: []byte(value)})
		_, err := d.intake.WaitingJobs(t.Context(), "q")
		var uncertain *UncertainError
		if !errors.As(err, &uncertain) {
			t.Errorf("%s: %v, want an UncertainError", damage, err)
		}
	}
}
