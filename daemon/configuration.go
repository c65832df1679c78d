package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/adapter/etcdstore"
	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
)

// configWatchers is how many daemons of a cluster watch the stored
// configuration. The rest hear of changes from them. The store counts each
// waiting watch as a call.
const configWatchers = 2

// configWatch is this daemon's watch of the stored configuration.
type configWatch struct {
	wanted  bool
	open    bool
	cancel  context.CancelFunc
	retryAt time.Time
	// after is the store revision from which the watch is to see changes: the
	// latest one at which this daemon knew of nothing newer. That of the latest
	// change may be long ago; a store that has compacted its history since
	// refuses watches from there, and would refuse them for good.
	after int64
}

// chooseConfigWatch decides whether this daemon is one of the watchers: the
// first by rendezvous hash, so that one daemon's end moves only its own watch.
func (c *control) chooseConfigWatch() {
	better := 0
	own := watchRank(c.o.Identity.ID)
	for _, id := range c.view.Candidates() {
		if watchRank(id) > own {
			better++
		}
	}
	c.configWatch.wanted = better < configWatchers
}

func watchRank(id model.DaemonID) uint64 { return xxhash.Sum64String("config watch " + string(id)) }

func (c *control) keepConfigWatch(now time.Time) {
	w := &c.configWatch
	if !w.wanted && w.open {
		w.cancel()
		return
	}
	if !w.wanted || w.open || !c.storeRead || now.Before(w.retryAt) {
		return
	}
	w.open = true
	ctx, cancel := context.WithCancel(etcdstore.WithClass(c.ctx, storebudget.ClassWatch))
	w.cancel = cancel
	key, after := c.o.manifestKey(), w.after
	open := func() (<-chan port.WatchEvent, error) {
		return c.o.Ports.Store.Watch(ctx, key, after)
	}
	c.exec.follow(open, c.takeWatched, configWatchEnded{})
}

// takeWatched delivers what the watch reports; false ends the watch.
func (c *control) takeWatched(ev port.WatchEvent) bool {
	if ev.Err != nil {
		return false
	}
	if !ev.Deleted && ev.KeyValue.Key == c.o.manifestKey() {
		c.exec.deliver(configRead{kv: ev.KeyValue, at: ev.KeyValue.ModRevision, watched: true})
	}
	return true
}

type configWatchEnded struct{}

func (configWatchEnded) apply(c *control) {
	w := &c.configWatch
	w.open = false
	w.cancel()
	w.retryAt = c.clock.Now().Add(c.jittered(retryRead))
	if w.wanted {
		if !c.storeFailed {
			c.record(timeline.Event{Kind: timeline.StoreWatchBroken})
		}
		// What changed while no watch was open is found by a read.
		c.periods.configPoll = c.clock.Now()
	}
}

// pollConfig asks the store whether there is a newer configuration than the one
// held. It reads the head, which names the revision alone: the configuration
// itself is some hundred kilobytes, which all daemons together would read from
// the store twice a minute for nothing.
func (c *control) pollConfig() {
	if c.config.Current() == nil {
		c.readConfig()
		return
	}
	c.poll(c.o.manifestHeadKey(), func(kv port.KeyValue, at int64, err error) event {
		return configHeadRead{kv: kv, at: at, err: err}
	})
}

// configHeadRead brings the revision of the stored configuration.
type configHeadRead struct {
	kv port.KeyValue
	// at is the store revision at which it was so.
	at  int64
	err error
}

// apply believes a head only that says there is nothing new. One that is missing
// or unreadable, as before the first change by a version that writes it, says
// nothing, and the configuration is read.
func (ev configHeadRead) apply(c *control) {
	if ev.err != nil {
		c.configPolled(retryRead)
		return
	}
	revision, err := config.UnmarshalHead(ev.kv)
	if err != nil {
		c.log.WithError(err).Error("stored head of the configuration is unusable")
	}
	if revision == 0 || revision > c.config.Revision() {
		c.readConfig()
		return
	}
	c.storeRead = true
	c.configWatch.after = max(c.configWatch.after, ev.at)
	c.configPolled(c.o.Timing.ConfigPoll)
}

func (c *control) configPolled(next time.Duration) {
	c.periods.configBusy = false
	c.periods.configPoll = c.clock.Now().Add(c.jittered(next))
}

func (c *control) readConfig() {
	c.poll(c.o.manifestKey(), func(kv port.KeyValue, at int64, err error) event {
		return configRead{kv: kv, at: at, err: err, polled: true}
	})
}

// configRead brings the stored configuration.
type configRead struct {
	kv port.KeyValue
	// at is the store revision at which it was so.
	at      int64
	err     error
	polled  bool
	watched bool
}

func (ev configRead) apply(c *control) {
	if ev.polled {
		c.configPolled(c.o.Timing.ConfigPoll)
	}
	if ev.err != nil {
		c.periods.configPoll = c.clock.Now().Add(c.jittered(retryRead))
		return
	}
	c.storeRead = true
	c.configWatch.after = max(c.configWatch.after, ev.at)
	accepted, err := config.Unmarshal(ev.kv)
	if err != nil {
		c.log.WithError(err).Error("stored configuration is unusable")
		return
	}
	c.installStored(accepted)
}

func (c *control) installStored(accepted *config.Accepted) {
	base := c.config.Revision()
	if !c.config.InstallStored(accepted) {
		return
	}
	c.configInstalled(base, "store", true)
}

// takeDelta applies a change of configuration that a peer sent.
func (c *control) takeDelta(d *peerv1.ConfigDelta, pushed bool) {
	if d == nil {
		return
	}
	base := c.config.Revision()
	result, err := c.config.ApplyDelta(d)
	if err != nil {
		c.record(timeline.Event{Kind: timeline.ConfigMismatch, Revision: model.Revision(d.GetRevision())})
		c.metrics.configMismatches.Inc()
	}
	if result == config.DeltaInstalled {
		c.configInstalled(base, "peer", false)
	}
}

func (c *control) configInstalled(base model.Revision, source string, readHere bool) {
	revision := c.config.Revision()
	c.record(timeline.Event{Kind: timeline.ConfigInstalled, Revision: revision, Detail: source})
	c.log.WithField("revision", revision).WithField("source", source).Info("configuration installed")
	c.metrics.revision.Set(float64(revision))
	c.spreader.ConfigChanged(uint64(base), uint64(revision), readHere)
	c.tables.dirty = true
	for _, s := range c.shards {
		s.dirty = true
	}
}
