package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

type delivery struct {
	at  time.Time
	act func()
}

const (
	orderDelay = 2 * time.Millisecond
	// resetDelay is how long it takes to notice that a connection was closed.
	resetDelay = 20 * time.Millisecond
)

// after calls act once d has passed.
func (c *cluster) after(d time.Duration, act func()) {
	at := c.now.Add(d)
	i, _ := slices.BinarySearchFunc(c.queue, at, func(d delivery, at time.Time) int {
		if d.at.After(at) {
			return 1
		}
		return -1
	})
	c.queue = slices.Insert(c.queue, i, delivery{at: at, act: act})
}

// sendEvent delivers an event to the leader m after d, unless m has been replaced by
// then.
func (c *cluster) sendEvent(m *Machine, d time.Duration, ev func() Event) {
	c.after(d, func() {
		switch {
		case m != c.machine:
		case c.slow != nil:
			c.slow.receive(c, ev())
		default:
			m.Handle(c.now, ev())
		}
	})
}

// clock returns the clock of the current incarnation under an id.
func (c *cluster) clock(id model.WorkerID) int64 { return c.incarnationAt(id).clockMs() }

// incarnationAt returns the current incarnation under an id.
func (c *cluster) incarnationAt(id model.WorkerID) *fakeWorker {
	if w := c.workers[id]; w != nil {
		return w
	}
	return &fakeWorker{c: c, dead: true}
}

// delayOf returns the delay of an order whose response is lost, and the worker that
// holds the order back, if any. An order held back by a worker is lost when that
// incarnation ends. One delayed in the network has a shorter delay, and reaches the
// incarnation that is current when it arrives.
func (c *cluster) delayOf(o Order, late time.Duration) (time.Duration, *fakeWorker) {
	switch {
	case !c.keepIDs:
		return late, nil
	case late.Milliseconds()%2 == 0:
		return late % (time.Second - 100*time.Millisecond), nil
	}
	return late, c.incarnationAt(o.Worker.ID)
}

// deliverOrder delivers an order to its worker and the response to the leader,
// unless a simulated fault prevents it.
func (c *cluster) deliverOrder(o Order, act func(*fakeWorker) Verdict, event func(Verdict) Event) {
	m := c.machine
	if c.rnd.Float64() < c.delayOrders {
		late := 2*time.Second + time.Duration(c.rnd.Int64N(int64(6*time.Second)))
		late, holder := c.delayOf(o, late)
		c.after(late, func() {
			if w := c.incarnationAt(o.Worker.ID); (holder == nil || holder == w) && !w.unreachable() && w.successor == nil && o.Epoch >= w.epoch {
				w.epoch = o.Epoch
				c.copies.late = true
				act(w)
				c.copies.late = false
			}
		})
		c.sendEvent(m, time.Second, func() Event { return event(VerdictUnknown) })
		return
	}
	lost := c.rnd.Float64() < c.loseAnswers
	c.after(orderDelay, func() {
		w := c.incarnationAt(o.Worker.ID)
		if w.unreachable() {
			c.sendEvent(m, time.Second, func() Event { return event(VerdictUnknown) })
			return
		}
		verdict := VerdictFenced
		switch {
		case w.successor != nil:
			verdict = VerdictOtherInstance
		case o.Epoch >= w.epoch:
			w.epoch = o.Epoch
			verdict = act(w)
		}
		if lost {
			c.sendEvent(m, time.Second, func() Event { return event(VerdictUnknown) })
			return
		}
		c.sendEvent(m, orderDelay, func() Event { return event(verdict) })
	})
}

func (c *cluster) renew(e Renew) {
	sent := c.now
	var report Report
	act := func(w *fakeWorker) Verdict {
		report = w.renew(e)
		return VerdictDone
	}
	event := func(v Verdict) Event { return Renewed{Worker: e.Worker, SentAt: sent, Verdict: v, Report: report} }
	w := c.workers[e.Worker.ID]
	if w == nil || e.Wait == 0 {
		c.deliverOrder(e.Order, act, event)
		return
	}
	m := c.machine
	var wait func(left time.Duration)
	wait = func(left time.Duration) {
		if c.keepIDs && w.dead {
			// The connection was closed when the process ended.
			c.sendEvent(m, resetDelay, func() Event { return event(VerdictUnknown) })
			return
		}
		if left <= 0 || len(w.ended) > 0 && w.ended[len(w.ended)-1].Number > e.AckedEnds || w.dead || w.partitioned || w.successor != nil {
			if m == c.machine {
				c.deliverOrder(e.Order, act, event)
			}
			return
		}
		c.after(clusterTick, func() { wait(left - clusterTick) })
	}
	wait(e.Wait)
}
