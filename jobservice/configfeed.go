package jobservice

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

const (
	// configPause is the time before a failed read of the configuration is tried
	// again; it doubles with each failure in a row, up to configPauseMost.
	configPause     = 100 * time.Millisecond
	configPauseMost = 800 * time.Millisecond
	// configFailureLines is the least time between two lines about failed reads.
	configFailureLines = 5 * time.Second
)

// ConfigFeedOptions are what a ConfigFeed works with.
type ConfigFeedOptions struct {
	// Source holds the configuration under Key, as Decode reads it. The error of
	// Decode is a *job.RecordError.
	Source port.KeyReader
	Key    string
	Decode func([]byte) (*job.Config, error)
	// Peers reads the key by way of another daemon. It may be nil.
	Peers func(ctx context.Context, key string) (port.KeyValue, error)
	// ApplyWithin is how soon a change must be in force, Stretch how much later it may
	// be while the store is unstable. With 0 no age is too old.
	ApplyWithin, Stretch time.Duration
	Clock                Clock
	Log                  *logrus.Logger
	Metrics              *Metrics
}

// ConfigFeed follows the operator's configuration. It is a port.ConfigFeed. A
// version once read is never replaced by an older one.
type ConfigFeed struct {
	o   ConfigFeedOptions
	log *logrus.Entry

	mu      sync.Mutex
	current *job.Config
	changed chan struct{}
	// confirmedAt is when the configuration in force was certainly the newest.
	confirmedAt time.Time
	failures    configFailures
	// peerAsked is set while it is read through another daemon, peersFrom is when it may
	// be again.
	peerAsked bool
	peersFrom time.Time
}

// configFailures are the failed reads since the last good one.
type configFailures struct {
	count int
	// bytes is how much had come of their answers.
	bytes int
	// toldAt is when they were told last.
	toldAt time.Time
}

var _ port.ConfigFeed = (*ConfigFeed)(nil)

// NewConfigFeed makes a feed; Run starts it.
func NewConfigFeed(o ConfigFeedOptions) *ConfigFeed {
	f := &ConfigFeed{
		o: o, log: o.Log.WithField("component", "configuration"), changed: make(chan struct{}), confirmedAt: o.Clock.Now(),
	}
	o.Metrics.followConfigAge(f.Age)
	return f
}

// Current returns the newest configuration that has been read, or nil.
func (f *ConfigFeed) Current() *job.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Changed returns a channel that is closed with the next change.
func (f *ConfigFeed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Age returns how long ago the configuration in force was certainly the newest; the
// time since the start before the first one.
func (f *ConfigFeed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.o.Clock.Now().Sub(f.confirmedAt)
}

// Run follows the configuration until ctx ends.
func (f *ConfigFeed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		f.readFailed(err)
		if f.peerDue() {
			go f.readThroughPeer(ctx)
		}
		Pause(ctx, f.pause())
	}
}

// follow reads the configuration and awaits one change after the other, until a call
// fails. The error is that of the call, nil if the configuration is to be read anew.
func (f *ConfigFeed) follow(ctx context.Context) error {
	sentAt := f.o.Clock.Now()
	kv, err := f.o.Source.Get(ctx, f.o.Key)
	if err != nil {
		return err
	}
	f.readWell()
	f.take(kv)
	f.confirm(sentAt)
	for revision := kv.ModRevision; ; {
		sentAt = f.o.Clock.Now()
		news, err := f.o.Source.Await(ctx, f.o.Key, revision)
		switch {
		case isKind(err, port.StoreTooLarge):
			// Several large versions have come at once: only the newest is read.
			f.log.WithError(err).Debug("configuration is read anew")
			return nil
		case err != nil:
			return err
		}
		if news.Changed {
			f.take(news.KeyValue)
		}
		f.confirm(sentAt.Add(news.Unchanged))
		revision = max(revision, news.Revision)
	}
}

// pause returns how long to wait before the next read after those that failed.
func (f *ConfigFeed) pause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	pause := configPause
	for range f.failures.count - 1 {
		pause = min(2*pause, configPauseMost)
	}
	return pause
}

// readFailed counts a read that failed, and tells of it and of those before it that
// were not told.
func (f *ConfigFeed) readFailed(err error) {
	bytes := 0
	var transfer *port.TransferError
	if errors.As(err, &transfer) {
		bytes = transfer.Bytes
	}
	f.o.Metrics.configReadFailed(bytes)
	if fields := f.countFailure(bytes); fields != nil {
		f.log.WithError(err).WithFields(fields).Warn("configuration not read; the one in force may be old")
	}
}

// countFailure counts a failed read and returns the fields of a line about it, nil
// if one was written a moment ago.
func (f *ConfigFeed) countFailure(bytes int) logrus.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures.count++
	f.failures.bytes += bytes
	now := f.o.Clock.Now()
	if now.Sub(f.failures.toldAt) < configFailureLines {
		return nil
	}
	f.failures.toldAt = now
	fields := logrus.Fields{
		"failures": f.failures.count, "bytes": f.failures.bytes, "age": now.Sub(f.confirmedAt).String(),
	}
	if f.current != nil {
		fields["version"] = f.current.Version
	}
	return fields
}

// readWell notes that a read has not failed.
func (f *ConfigFeed) readWell() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures.count, f.failures.bytes = 0, 0
}

// confirm notes that no newer configuration was there at a time.
func (f *ConfigFeed) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// take puts a configuration in force unless it is older than the one that is.
func (f *ConfigFeed) take(kv port.KeyValue) {
	if kv.ModRevision == 0 {
		return
	}
	config, err := f.o.Decode(kv.Value)
	if err != nil {
		f.o.Metrics.ReportUnreadable(f.log, KindConfiguration, kv, err, "the configuration in force stays; a daemon without one is not ready")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && config.Version <= f.current.Version {
		return
	}
	f.current = config
	f.o.Metrics.configVersion.Set(float64(config.Version))
	close(f.changed)
	f.changed = make(chan struct{})
	f.log.WithFields(logrus.Fields{"version": config.Version, "revision": kv.ModRevision, "queues": len(config.Queues)}).
		Info("configuration in force")
}
