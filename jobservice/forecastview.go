package jobservice

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/jobforecast"
	"github.com/guavarill/guavarill/core/model"
)

const (
	// forecastInterval is how old a daemon's forecast may be before it reads it anew,
	// calmForecastInterval the same while no queue is under pressure.
	forecastInterval     = 250 * time.Millisecond
	calmForecastInterval = time.Second
	// forecastWait is how long a submission waits for the forecast.
	forecastWait = 40 * time.Millisecond
)

// forecastView is a daemon's copy of the leader's forecast. It is read when a job is
// submitted and the copy is old, by one request at a time.
type forecastView struct {
	store   RecordStore
	clock   Clock
	log     *logrus.Entry
	metrics *Metrics

	mu sync.Mutex
	// known is the newest forecast, nil if there is none. epoch is the latest that a
	// forecast was of.
	known *jobforecast.Forecast
	epoch model.Epoch
	// readAt is when the last read began; read is closed when it has ended.
	readAt time.Time
	read   chan struct{}
}

// current returns the forecast, nil if none is known. It waits for at most forecastWait.
func (v *forecastView) current(ctx context.Context) *jobforecast.Forecast {
	read := v.readIfDue()
	timer := time.NewTimer(forecastWait)
	defer timer.Stop()
	select {
	case <-read:
	case <-timer.C:
	case <-ctx.Done():
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known
}

// readIfDue starts a read if the copy is old, and returns the channel that is closed when
// the last read has ended.
func (v *forecastView) readIfDue() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	interval := calmForecastInterval
	if v.known != nil {
		interval = forecastInterval
	}
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

// refresh reads the forecast. When the store does not answer the copy stays, and is not
// used for longer than its age allows. A forecast that cannot be decoded counts as none.
func (v *forecastView) refresh(done chan<- struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	kv, err := v.store.Get(ctx, ledgerKey)
	if err != nil {
		v.log.WithError(err).Debug("forecast not read; jobs are accepted once the last one is too old")
		return
	}
	ledger, err := decodeLedger(kv)
	if err != nil {
		v.metrics.ReportUnreadable(v.log, kindLedger, kv, err, "jobs are accepted without a forecast")
	}
	v.set(ledger.Summary.Forecast)
}

// set replaces the copy, unless the new forecast is of an earlier leader.
func (v *forecastView) set(next *jobforecast.Forecast) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if next != nil && next.Epoch < v.epoch {
		return
	}
	if next != nil {
		v.epoch = next.Epoch
	}
	v.known = next
}
