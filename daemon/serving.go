package daemon

import (
	"time"

	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/traffic"
)

// drainState is how far a planned stop has come.
type drainState struct {
	begun          bool
	shardsReleased bool
	finished       bool
	// waiting are those who asked for the stop and are to be told of its end.
	waiting []chan struct{}
}

// updateServing tells the engine whether this entry may take requests. Without
// a configuration from the store, or from enough peers, it must not: it could
// serve an older revision than its callers have already seen in force. Nor in
// the first seconds, in which it cannot vouch for request ids yet: operators who
// restart entries one after the other wait for readiness between them, and so
// never have two homes of an id unsure at once.
func (c *control) updateServing() {
	reason := c.notServingReason()
	wasServing := c.engine.Serving() == nil
	if reason == "" {
		c.engine.SetServing(true, "")
	} else {
		c.engine.SetServing(false, reason)
	}
	if serving := reason == ""; serving != wasServing {
		kind := timeline.DaemonUnready
		if serving {
			kind = timeline.DaemonReady
		}
		c.record(timeline.Event{Kind: kind, Detail: string(reason)})
		c.log.WithField("serving", serving).WithField("reason", reason).Info("entry changed state")
	}
}

func (c *control) notServingReason() traffic.NotServingReason {
	switch {
	case c.config.Current() == nil:
		return traffic.NoConfiguration
	case !c.storeRead && !c.heardMajority():
		return traffic.Starting
	case c.clock.Now().Sub(c.o.Identity.Started) < c.homeAfter():
		return traffic.Starting
	}
	return ""
}

// homeAfter is how long after its start this entry can vouch for request ids
// as their home.
func (c *control) homeAfter() time.Duration {
	o := c.o.Dedup.WithDefaults()
	return o.MembershipDelay + o.MaxClockSkew
}

// heardMajority reports whether a majority of the other members answered this
// daemon since its start. Every accepted revision that was in force anywhere
// was known to more than the rest, once it had spread.
func (c *control) heardMajority() bool {
	others := 0
	for _, m := range c.view.Members {
		if m.ID != c.o.Identity.ID {
			others++
		}
	}
	return others > 0 && len(c.peersHeard)*2 > others
}

// drainRequested begins a planned stop of the control side: shards are handed
// over and peers are told. Requests go on being served until the engine is
// drained by whoever asked.
type drainRequested struct{ done chan struct{} }

func (ev drainRequested) apply(c *control) {
	if c.drain.finished {
		close(ev.done)
		return
	}
	c.drain.waiting = append(c.drain.waiting, ev.done)
	if c.drain.begun {
		return
	}
	c.drain.begun = true
	c.record(timeline.Event{Kind: timeline.DrainStarted})
	c.stepMembers(membership.Drain{})
	c.stepOwner(ownership.Drain{})
}

func (c *control) tickDrain(time.Time) {
	if !c.drain.begun || !c.drain.shardsReleased || c.drain.finished {
		return
	}
	c.drain.finished = true
	c.stepMembers(membership.Stop{})
	c.record(timeline.Event{Kind: timeline.DrainEnded})
	for _, done := range c.drain.waiting {
		close(done)
	}
}
