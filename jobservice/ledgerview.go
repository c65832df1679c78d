package jobservice

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/jobforecast"
	"github.com/guavarill/guavarill/core/jobmemory"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
)

const (
	// ledgerInterval is how old a daemon's copy may be before it reads it anew,
	// calmLedgerInterval the same while no queue is under pressure.
	ledgerInterval     = 250 * time.Millisecond
	calmLedgerInterval = time.Second
	// memoryInterval is the same once much was accepted, or there is no memory for a job.
	memoryInterval = 50 * time.Millisecond
	// ledgerWait is how long a submission waits for a read.
	ledgerWait = 40 * time.Millisecond
)

// ledgerView is a daemon's copy of what the leader tells of new jobs: its forecast, and the
// memory that it has for them. It is read when a job is submitted and the copy is old, by
// one request at a time.
type ledgerView struct {
	store   RecordStore
	clock   Clock
	log     *logrus.Entry
	metrics *Metrics

	mu sync.Mutex
	// known is the newest forecast, nil if there is none. epoch is the latest that a
	// forecast was of.
	known *jobforecast.Forecast
	epoch model.Epoch
	// informed is set once the ledger was read.
	informed bool
	// memory is the leader's memory for jobs.
	memory jobmemory.Account
	// readAt is when the last read began; read is closed when it has ended.
	readAt time.Time
	read   chan struct{}
}

// forecast returns the forecast, nil if none is known. It waits for at most ledgerWait.
func (v *ledgerView) forecast(ctx context.Context) *jobforecast.Forecast {
	v.await(ctx, v.readIfDue())
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known
}

// reserve takes memory at the leader for a job of the given size, in bytes, and reports
// whether there was some. daemons is how many daemons accept jobs.
func (v *ledgerView) reserve(ctx context.Context, size int64, daemons int) bool {
	if read := v.readIfDue(); !v.isInformed() {
		v.await(ctx, read)
	}
	if v.tryReserve(size, daemons) {
		return true
	}
	v.await(ctx, v.readIfOlder(memoryInterval))
	return v.tryReserve(size, daemons)
}

// isInformed reports whether there is a copy.
func (v *ledgerView) isInformed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.informed
}

func (v *ledgerView) tryReserve(size int64, daemons int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.memory.Reserve(size, daemons)
}

// settle notes what became of a job for which memory was reserved: the store's revision with
// it, 0 if it is not known to be stored.
func (v *ledgerView) settle(size, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision == 0 {
		v.memory.Release(size)
		return
	}
	v.memory.Accepted(size, revision)
}

// await waits for a read, for at most ledgerWait.
func (v *ledgerView) await(ctx context.Context, read <-chan struct{}) {
	timer := time.NewTimer(ledgerWait)
	defer timer.Stop()
	select {
	case <-read:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readIfDue starts a read if the copy is old, and returns the channel that is closed when
// the last read has ended.
func (v *ledgerView) readIfDue() <-chan struct{} {
	v.mu.Lock()
	interval := calmLedgerInterval
	switch {
	case v.memory.IsOld():
		interval = memoryInterval
	case v.known != nil:
		interval = ledgerInterval
	}
	v.mu.Unlock()
	return v.readIfOlder(interval)
}

// readIfOlder starts a read if the last one began longer ago, and returns the channel that is
// closed when the last read has ended.
func (v *ledgerView) readIfOlder(interval time.Duration) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if v.read != nil && (now.Sub(v.readAt) < interval || !isClosed(v.read)) {
		return v.read
	}
	v.readAt, v.read = now, make(chan struct{})
	go v.refresh(v.read)
	return v.read
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// refresh reads the ledger. When the store does not answer the copy stays, and its forecast
// is not used for longer than its age allows. One that cannot be decoded tells nothing.
func (v *ledgerView) refresh(done chan<- struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	kv, err := v.store.Get(ctx, ledgerKey)
	if err != nil {
		v.log.WithError(err).Debug("ledger not read; jobs are accepted once the last forecast is too old")
		return
	}
	ledger, err := decodeLedger(kv)
	if err != nil {
		v.metrics.ReportUnreadable(v.log, kindLedger, kv, err, "jobs are accepted without a forecast")
	}
	v.set(ledger.Summary)
}

// set replaces the copy, but for a forecast of an earlier leader.
func (v *ledgerView) set(next jobsched.Summary) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.informed = true
	v.memory.Set(next.JobMemory)
	forecast := next.Forecast
	if forecast != nil && forecast.Epoch < v.epoch {
		return
	}
	if forecast != nil {
		v.epoch = forecast.Epoch
	}
	v.known = forecast
}
