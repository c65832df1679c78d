package routing_test

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/admission"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/routing"
	"github.com/guavarill/guavarill/core/shares"
)

// unlimited sends each request immediately to the instance that choose returns,
// and abandons it at its deadline.
type unlimited struct {
	s        *site
	e        *entry
	inflight map[*instance]int
	choose   func(u *unlimited) *instance
	turn     int
}

func baseline(choose func(*unlimited) *instance) func(*site, *entry) policy {
	return func(s *site, e *entry) policy {
		return &unlimited{s: s, e: e, inflight: map[*instance]int{}, choose: choose, turn: s.rnd.IntN(siteInstances)}
	}
}

func (u *unlimited) arrive(r *request) {
	i := u.choose(u)
	u.inflight[i]++
	over := false
	end := func(answered bool) {
		if over {
			return
		}
		over = true
		u.inflight[i]--
		u.s.finish(u.e, r, answered)
	}
	abandon := u.s.exchange(u.e, i, 0, func() { end(true) })
	u.s.after(deadline, func() {
		abandon()
		end(false)
	})
}

func roundRobin(u *unlimited) *instance {
	u.turn++
	return u.s.instances[u.turn%len(u.s.instances)]
}

func randomOfTwo(u *unlimited) *instance {
	a := u.s.instances[u.s.rnd.IntN(len(u.s.instances))]
	b := u.s.instances[u.s.rnd.IntN(len(u.s.instances))]
	if u.inflight[b] < u.inflight[a] {
		return b
	}
	return a
}

func leastInFlight(u *unlimited) *instance {
	best, ties := u.s.instances[0], 1
	for _, i := range u.s.instances[1:] {
		switch n := u.inflight[i] - u.inflight[best]; {
		case n < 0:
			best, ties = i, 1
		case n == 0:
			ties++
			if u.s.rnd.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// variant is the production policy with one part disabled or configured
// differently.
type variant struct {
	admission   admission.Options
	routing     routing.Options
	ignoreZones bool // shares ignore availability zones
	equalShares bool // shares ignore demand
	neverWait   bool // never waits for a better slot
}

// limited is the production policy: shares, admission and routing.
type limited struct {
	s        *site
	e        *entry
	v        variant
	queue    *admission.Queue
	balancer *routing.Balancer
	tracker  *shares.Tracker
	demand   shares.Demand
	waiting  map[uint64]*request
	byName   map[string]*instance
	inflight int
}

func production(v variant) func(*site, *entry) policy {
	return func(s *site, e *entry) policy {
		v.admission.MaxQueued = 512
		l := &limited{
			s: s, e: e, v: v,
			queue:    admission.New(v.admission),
			balancer: routing.New(zoneName(e.zone), v.routing),
			tracker:  shares.NewTracker(growDelay),
			waiting:  make(map[uint64]*request),
			byName:   make(map[string]*instance),
		}
		for _, i := range s.instances {
			l.byName[i.address] = i
		}
		l.applyView(s.time().Add(-growDelay), s.members())
		l.applyView(s.time(), s.members())
		s.every(time.Second, l.publish)
		s.every(100*time.Millisecond, func() { l.demand.Observe(s.time(), l.inflight, l.queue.Len()) })
		return l
	}
}

// publish lets this entry observe, after viewDelay, which entries are alive and
// the demand that they publish.
func (l *limited) publish() {
	members := l.s.members()
	published := make(map[model.DaemonID]uint32)
	for _, e := range l.s.entries {
		if other, ok := e.policy.(*limited); ok && !l.v.equalShares {
			published[e.id] = other.demand.Publish(allSlots, len(members))
		}
	}
	l.s.after(viewDelay, func() {
		l.applyView(l.s.time(), shares.WeightByDemand(members, published, allSlots))
		l.pump()
	})
}

func (l *limited) applyView(now time.Time, members []shares.Entry) {
	var capacity []shares.Capacity
	for _, i := range l.s.instances {
		capacity = append(capacity, shares.Capacity{
			Address: i.address, Zone: zoneName(i.zone), Slots: siteSlots, Connections: 60,
		})
	}
	if l.v.ignoreZones {
		for n := range capacity {
			capacity[n].Zone = ""
		}
	}
	var targets []routing.Target
	for _, share := range l.tracker.Step(now, shares.Divide(members, l.e.id, capacity)) {
		targets = append(targets, routing.Target{
			Address: share.Address, Zone: zoneName(l.byName[share.Address].zone),
			Slots: share.Slots, Connections: share.Connections,
		})
	}
	l.balancer.Update(l.s.time(), targets)
}

func (l *limited) arrive(r *request) {
	if !l.offer(r) {
		l.s.refuse(l.e, r)
	}
	l.pump()
}

func (l *limited) offer(r *request) bool {
	l.queue.SetSlots(l.balancer.Free(), l.balancer.Slots())
	v := l.queue.Offer(l.s.time(), admission.Ticket{
		ID: r.id, Priority: r.priority, Deadline: epoch.Add(r.arrived + deadline),
	})
	if v.Outcome == admission.Shed {
		return false
	}
	l.waiting[r.id] = r
	if v.Evicted != nil {
		l.s.refuse(l.e, l.take(v.Evicted.ID))
	}
	return true
}

func (l *limited) take(id uint64) *request {
	r := l.waiting[id]
	delete(l.waiting, id)
	return r
}

// pump gives good slots to the first tickets in the queue, and slots that the
// first ticket should decline to the last one.
func (l *limited) pump() {
	for l.queue.Len() > 0 {
		l.queue.SetSlots(l.balancer.Free(), l.balancer.Slots())
		first, ok, expired := l.queue.Next(l.s.time())
		for _, t := range expired {
			l.s.refuse(l.e, l.take(t.ID))
		}
		if !ok {
			return
		}
		if l.try(first, 0) {
			continue
		}
		l.queue.Requeue(l.s.time(), first)
		last, _ := l.queue.Last()
		if !l.try(last, l.queue.Ahead(last.Priority)-1) {
			return
		}
		l.queue.Cancel(last.ID)
	}
}

func (l *limited) try(t admission.Ticket, ahead int) bool {
	r := l.waiting[t.ID]
	if l.v.neverWait {
		ahead = math.MaxInt32
	}
	choice, ok := l.balancer.Pick(l.s.time(), l.s.rnd.Uint64(), routing.Query{
		Avoid: r.avoid, NonIdempotent: !r.idempotent, Ahead: ahead,
	})
	if ok {
		l.take(t.ID)
		l.send(r, choice)
	}
	return ok
}

func (l *limited) send(r *request, c *routing.Choice) {
	started, i := l.s.now, l.byName[c.Address()]
	left := r.arrived + deadline - started
	over := false
	l.inflight++
	end := func(o routing.Outcome) {
		over = true
		l.inflight--
		c.Done(l.s.time(), routing.Result{Latency: l.s.now - started, Outcome: o})
	}
	trusted := c.TrustSince().Sub(epoch)
	if c.RequiresNewConnection() {
		trusted = math.MaxInt64
	}
	abandon := l.s.exchange(l.e, i, trusted, func() {
		end(routing.OK)
		l.queue.Observe(l.s.time(), l.s.now-started)
		l.s.finish(l.e, r, true)
		l.pump()
	})
	at := func(d time.Duration, do func()) {
		l.s.after(min(d, left), func() {
			if !over {
				do()
				l.pump()
			}
		})
	}
	at(c.OverdueAfter(), func() { c.ReportOverdue(l.s.time()) })
	at(c.SilenceAfter(), func() {
		c.ReportOverdue(l.s.time())
		if !r.idempotent {
			return
		}
		abandon()
		end(routing.Silent)
		r.avoid = append(r.avoid, i.address)
		if len(r.avoid) > 2 || !l.offer(r) {
			l.s.finish(l.e, r, false)
		}
	})
	at(left, func() {
		abandon()
		end(routing.Silent)
		l.s.finish(l.e, r, false)
	})
}
