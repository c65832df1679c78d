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
	// configRetryDelay is the delay before a failed read of the configuration is
	// retried; it doubles with each consecutive failure, up to maxConfigRetryDelay.
	configRetryDelay    = 100 * time.Millisecond
	maxConfigRetryDelay = 800 * time.Millisecond
	// configFailureLogInterval is the minimum time between two log lines about failed
	// reads.
	configFailureLogInterval = 5 * time.Second
)

// ConfigFeedOptions configures a ConfigFeed.
type ConfigFeedOptions struct {
	// Source holds the configuration under Key, in the form that Decode accepts. The
	// error of Decode is a *job.RecordError.
	Source port.KeyReader
	Key    string
	Decode func([]byte) (*job.Config, error)
	// Peers reads the key through another daemon. It may be nil.
	Peers func(ctx context.Context, key string) (port.KeyValue, error)
	// ApplyWithin is how soon a change must be in force, Stretch how much later it
	// may be while the store is unstable. If ApplyWithin is 0, no age is too old.
	ApplyWithin, Stretch time.Duration
	Clock                Clock
	Log                  *logrus.Logger
	Metrics              *Metrics
}

// ConfigFeed follows the operator's configuration. It is a port.ConfigFeed. A version
// that has been read is never replaced by an older one.
type ConfigFeed struct {
	o   ConfigFeedOptions
	log *logrus.Entry

	mu      sync.Mutex
	current *job.Config
	changed chan struct{}
	// confirmedAt is when the configuration in force was last known to be the newest.
	confirmedAt time.Time
	failures    configFailures
	// peerReading is set while the configuration is read through another daemon;
	// nextPeerRead is when it may be again.
	peerReading  bool
	nextPeerRead time.Time
}

// configFailures counts the failed reads since the last successful one.
type configFailures struct {
	count int
	// bytes is how much of their responses was received.
	bytes int
	// loggedAt is when they were last logged.
	loggedAt time.Time
}

var _ port.ConfigFeed = (*ConfigFeed)(nil)

// NewConfigFeed returns a feed; Run starts it.
func NewConfigFeed(o ConfigFeedOptions) *ConfigFeed {
	f := &ConfigFeed{
		o: o, log: o.Log.WithField("component", "configuration"), changed: make(chan struct{}), confirmedAt: o.Clock.Now(),
	}
	o.Metrics.setConfigAgeSource(f.Age)
	return f
}

// Current returns the newest configuration that has been read, or nil.
func (f *ConfigFeed) Current() *job.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Changed returns a channel that is closed on the next change.
func (f *ConfigFeed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Age returns the time since the configuration in force was last known to be the
// newest; before the first one, the time since the feed was created.
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
		f.recordFailure(err)
		if f.beginPeerRead() {
			go f.readThroughPeer(ctx)
		}
		Pause(ctx, f.retryDelay())
	}
}

// follow reads the configuration and waits for one change after another until a call
// fails. It returns the error of that call, or nil if the configuration has to be
// read again.
func (f *ConfigFeed) follow(ctx context.Context) error {
	sentAt := f.o.Clock.Now()
	kv, err := f.o.Source.Get(ctx, f.o.Key)
	if err != nil {
		return err
	}
	f.clearFailures()
	f.apply(kv)
	f.confirm(sentAt)
	for revision := kv.ModRevision; ; {
		sentAt = f.o.Clock.Now()
		news, err := f.o.Source.AwaitChange(ctx, f.o.Key, revision)
		switch {
		case isKind(err, port.StoreTooLarge):
			// Several large versions have arrived at once: only the newest is read.
			f.log.WithError(err).Debug("reading the configuration again")
			return nil
		case err != nil:
			return err
		}
		if news.Changed {
			f.apply(news.KeyValue)
		}
		f.confirm(sentAt.Add(news.Unchanged))
		revision = max(revision, news.Revision)
	}
}

// retryDelay returns the delay before the next read, according to the number of
// consecutive failures.
func (f *ConfigFeed) retryDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	pause := configRetryDelay
	for range f.failures.count - 1 {
		pause = min(2*pause, maxConfigRetryDelay)
	}
	return pause
}

// recordFailure counts a failed read, and logs it together with the earlier ones that
// were not logged.
func (f *ConfigFeed) recordFailure(err error) {
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

// countFailure counts a failed read and returns the fields of a log line about it, or
// nil if one was written less than configFailureLogInterval ago.
func (f *ConfigFeed) countFailure(bytes int) logrus.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures.count++
	f.failures.bytes += bytes
	now := f.o.Clock.Now()
	if now.Sub(f.failures.loggedAt) < configFailureLogInterval {
		return nil
	}
	f.failures.loggedAt = now
	fields := logrus.Fields{
		"failures": f.failures.count, "bytes": f.failures.bytes, "age": now.Sub(f.confirmedAt).String(),
	}
	if f.current != nil {
		fields["version"] = f.current.Version
	}
	return fields
}

// clearFailures resets the failures after a successful read.
func (f *ConfigFeed) clearFailures() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures.count, f.failures.bytes = 0, 0
}

// confirm records that no newer configuration was stored at a time.
func (f *ConfigFeed) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// apply puts a configuration in force if it is newer than the current one.
func (f *ConfigFeed) apply(kv port.KeyValue) {
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
