package daemon

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
)

// cordonLimits bounds the age of the cordons by which tasks are started. Late starts
// need no limit of their own: a start carries a grant, and workers refuse one whose
// grant is older than the lease of tasks.
func (c *control) cordonLimits() cordon.Limits {
	return cordon.Limits{MaxAge: c.o.Timing.CordonMaxAge}
}

// cordonsCurrent reports whether the known cordons are recent enough for starts.
func (c *control) cordonsCurrent(now time.Time) bool {
	return c.cordons.IsCurrent(now, c.cordonLimits())
}

// isCordoned reports whether a worker is in a cordoned availability zone.
func (c *control) isCordoned(w *worker) bool { return c.cordons.IsCordoned(w.vm.Zone) }

// readCordons reads the cordons of all zones.
func (c *control) readCordons() {
	requestedAt := c.clock.Now()
	c.list(storebudget.ClassPoll, c.o.cordonsPrefix(), func(kvs []port.KeyValue, _ int64, err error) event {
		return cordonsRead{kvs: kvs, err: err, requestedAt: requestedAt}
	})
}

// cordonsRead brings the stored cordons.
type cordonsRead struct {
	kvs         []port.KeyValue
	err         error
	requestedAt time.Time
}

func (ev cordonsRead) apply(c *control) {
	c.periods.cordonBusy = false
	c.periods.cordons = c.clock.Now().Add(c.o.Timing.Cordons)
	if ev.err != nil {
		c.log.WithError(ev.err).Debug("cordons not read; reading them again")
		return
	}
	wasCurrent := c.cordonsCurrent(c.clock.Now())
	change := c.cordons.Update(c.zonesOf(ev.kvs), ev.requestedAt)
	for _, zone := range change.Cordoned {
		c.record(timeline.Event{Kind: timeline.ZoneCordoned, Subject: string(zone)})
	}
	for _, zone := range change.Lifted {
		c.record(timeline.Event{Kind: timeline.CordonLifted, Subject: string(zone)})
	}
	if wasCurrent && len(change.Cordoned)+len(change.Lifted) == 0 {
		return
	}
	for _, id := range c.sortedShards() {
		c.shards[id].dirty = true
		c.shards[id].wishAll()
	}
}

// zonesOf returns the zones that the keys name. The values say nothing.
func (c *control) zonesOf(kvs []port.KeyValue) cordon.Zones {
	zones := make(cordon.Zones, len(kvs))
	for _, kv := range kvs {
		zones.Add(strings.TrimPrefix(kv.Key, c.o.cordonsPrefix()), kv.ModRevision)
	}
	return zones
}

// cordonRequested is an operator's change of the cordon of a zone.
type cordonRequested struct {
	zone  model.Zone
	lift  bool
	reply chan<- error
}

func (ev cordonRequested) apply(c *control) {
	c.get(storebudget.ClassCommit, c.o.cordonChangesPrefix()+string(ev.zone), func(kv port.KeyValue, err error) event {
		return cordonChangeRead{request: ev, last: kv, err: err}
	})
}

// cordonChangeRead is the key that is written with each change of the zone's cordon.
type cordonChangeRead struct {
	request cordonRequested
	last    port.KeyValue
	err     error
}

func (ev cordonChangeRead) apply(c *control) {
	if ev.err != nil {
		ev.request.reply <- ev.err
		return
	}
	c.get(storebudget.ClassCommit, c.o.cordonsPrefix()+string(ev.request.zone), func(kv port.KeyValue, err error) event {
		return cordonKeyRead{request: ev.request, last: ev.last, kv: kv, err: err}
	})
}

// cordonKeyRead is the key of the zone before such a change.
type cordonKeyRead struct {
	request  cordonRequested
	last, kv port.KeyValue
	err      error
}

// apply makes the change on condition that no other was made since the keys were read. A
// change without a response may be made late, and must not undo one that was acknowledged
// since. A lift leaves no key of the zone that an earlier cordon could be conditional on,
// so each change writes a second key, and is conditional on that as well.
func (ev cordonKeyRead) apply(c *control) {
	if ev.err != nil {
		ev.request.reply <- ev.err
		return
	}
	op := port.Op{Key: ev.kv.Key, Value: []byte("{}")}
	if ev.request.lift {
		op = port.Op{Key: ev.kv.Key, Delete: true}
	}
	unchanged := []port.Condition{
		{Key: ev.kv.Key, Kind: port.CompareModRevision, Revision: ev.kv.ModRevision},
		{Key: ev.last.Key, Kind: port.CompareModRevision, Revision: ev.last.ModRevision},
	}
	ops := []port.Op{op, {Key: ev.last.Key, Value: []byte("{}")}}
	c.txn(storebudget.ClassCommit, unchanged, ops, func(result port.TxnResult, err error) event {
		return cordonWritten{request: ev.request, changed: err == nil && !result.Succeeded, err: err}
	})
}

// cordonWritten is the store's answer to such a change. changed is whether another
// change was made since the key was read.
type cordonWritten struct {
	request cordonRequested
	changed bool
	err     error
}

func (ev cordonWritten) apply(c *control) {
	if ev.changed {
		ev.request.apply(c)
		return
	}
	c.periods.cordons = c.clock.Now()
	ev.request.reply <- ev.err
}

// SetCordon cordons an availability zone or, with lift, opens it again. It returns
// once the store has the change; to repeat it changes nothing. An error is a
// *port.StoreError, or a *StoppedError with which the outcome is not known.
func (d *Daemon) SetCordon(ctx context.Context, zone model.Zone, lift bool) error {
	reply := make(chan error, 1)
	d.exec.deliver(cordonRequested{zone: zone, lift: lift, reply: reply})
	select {
	case err := <-reply:
		return err
	case <-d.ctx.Done():
		return &StoppedError{Reason: StopEnded}
	case <-ctx.Done():
		return &StoppedError{Reason: StopCanceled, Cause: ctx.Err()}
	}
}

// CordonNotMade reports whether a change of a cordon that failed with err was
// certainly not made.
func CordonNotMade(err error) bool {
	var failed *port.StoreError
	return errors.As(err, &failed) && failed.Outcome == port.OutcomeNotDone
}
