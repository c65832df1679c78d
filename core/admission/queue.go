package admission

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Queue holds the requests of one service that wait for a slot. It is not
// safe for concurrent use.
type Queue struct {
	o       Options
	classes [model.NumPriorities]class
	waiting map[uint64]*waiter
	expiry  expiryHeap
	load    load
	// free and total are what SetSlots said last.
	free, total int
	// standingSince is since when tickets have waited without a break; zero
	// when none waits.
	standingSince time.Time
	// calmSince is since when the queue has been empty after an overload.
	calmSince  time.Time
	overloaded bool
}

// New returns an empty queue.
func New(o Options) *Queue {
	o = o.withDefaults()
	return &Queue{
		o:       o,
		waiting: make(map[uint64]*waiter),
		load:    newLoad(o.InitialServiceTime),
	}
}

// SetSlots tells the queue how many slots the service has here and how many
// of them are free. Call it before Offer and Next whenever either changed.
func (q *Queue) SetSlots(free, total int) {
	q.free = max(free, 0)
	q.total = max(total, 0)
}

// Observe learns the service time of a request that was answered, measured
// from taking the slot to giving it back.
func (q *Queue) Observe(_ time.Time, service time.Duration) {
	q.load.observe(service)
}

// Offer asks for a place for t. A queued ticket may be due at once: call Next.
func (q *Queue) Offer(now time.Time, t Ticket) Verdict {
	t.Priority = clamp(t.Priority)
	q.load.arrived(now, t.Priority)
	q.updateOverload(now)
	if reason := q.refusal(now, t); reason != ReasonNone {
		return q.shed(now, t, reason)
	}
	var evicted *Ticket
	if len(q.waiting) >= q.o.MaxQueued {
		victim := q.victim(t.Priority)
		if victim == nil {
			return q.shed(now, t, ReasonFull)
		}
		q.remove(victim)
		evicted = &victim.ticket
	}
	q.add(t)
	if q.standingSince.IsZero() {
		q.standingSince = now
	}
	v := Verdict{Outcome: Queued, Evicted: evicted}
	if evicted != nil {
		v.RetryAfter = q.retryAfter(now, *evicted)
	}
	return v
}

// refusal says why t is not to be queued even if there is room.
func (q *Queue) refusal(now time.Time, t Ticket) ShedReason {
	if q.total == 0 {
		return ReasonNoCapacity
	}
	wait := q.predictedWait(t.Priority)
	if !t.Deadline.IsZero() && now.Add(wait+q.load.service).After(t.Deadline) {
		return ReasonDeadline
	}
	if q.overloaded && t.Priority < model.PriorityUrgent && wait > q.targetWait() {
		return ReasonOverload
	}
	return ReasonNone
}

func (q *Queue) targetWait() time.Duration {
	return time.Duration(q.o.TargetWait * float64(q.load.service))
}

// victim returns the newest waiter of the lowest priority below p, or nil.
func (q *Queue) victim(p model.Priority) *waiter {
	for lower := range p {
		if w := q.classes[lower].newest; w != nil {
			return w
		}
	}
	return nil
}

// Next takes the ticket that is to have the next free slot. The second result
// is false when none waits or when the free slots are held back for urgent
// ones. The list holds tickets that can no longer make their deadline: they
// have left the queue, and their callers are to be told that they did not run.
func (q *Queue) Next(now time.Time) (Ticket, bool, []Ticket) {
	expired := q.Expire(now)
	if q.free <= 0 {
		return Ticket{}, false, expired
	}
	p, ok := q.choose()
	if !ok {
		return Ticket{}, false, expired
	}
	w := q.classes[p].oldest
	q.passOver(p)
	q.remove(w)
	q.free--
	q.updateOverload(now)
	return w.ticket, true, expired
}

// choose returns the priority whose oldest ticket is next.
func (q *Queue) choose() (model.Priority, bool) {
	held := q.free <= q.reserve()
	best := model.Priority(-1)
	for p := model.PriorityUrgent; p >= 0; p-- {
		c := &q.classes[p]
		if c.oldest == nil || (held && p < model.PriorityUrgent) {
			continue
		}
		if best < 0 || c.passedOver >= maxPassedOver[p] {
			best = p
		}
	}
	return best, best >= 0
}

// passOver counts the slot given to priority p against the lower ones that
// wait.
func (q *Queue) passOver(p model.Priority) {
	for lower := range p {
		if q.classes[lower].oldest != nil {
			q.classes[lower].passedOver++
		}
	}
	q.classes[p].passedOver = 0
}

// reserve is how many free slots are held back for urgent tickets now.
func (q *Queue) reserve() int {
	if !q.overloaded || !q.load.urgentSeen() {
		return 0
	}
	return int(q.o.UrgentReserve * float64(q.total))
}

// Requeue puts back, at the head of its priority, a ticket that Next gave and
// for which no target was found. It is not counted as an arrival.
func (q *Queue) Requeue(now time.Time, t Ticket) {
	t.Priority = clamp(t.Priority)
	w := q.insert(t)
	q.classes[t.Priority].pushOldest(w)
	q.free++
	if q.standingSince.IsZero() {
		q.standingSince = now
	}
}

// Last returns the waiting ticket that is to wait the longest and leaves it in
// the queue; Cancel takes it out. A slot that is not good enough for those
// next in line can be of use to it. That is the newest ticket when all have
// one priority. Else it is the oldest of the lowest: those of higher priority
// overtake all of the lowest, and the newest would overtake the rest.
func (q *Queue) Last() (Ticket, bool) {
	w := q.victim(model.PriorityUrgent + 1)
	if w == nil {
		return Ticket{}, false
	}
	if c := &q.classes[w.ticket.Priority]; c.count < len(q.waiting) {
		w = c.oldest
	}
	return w.ticket, true
}

// Ahead returns how many slots are expected to go to others before a ticket
// of priority p that is, or would be, the newest of its priority: those that
// wait before it, and those of higher priority that arrive meanwhile.
func (q *Queue) Ahead(p model.Priority) int {
	p = clamp(p)
	return int(float64(q.before(p)) / (1 - q.load.usedAbove(p, q.total)))
}

// Cancel removes a waiting ticket. False: it does not wait here.
func (q *Queue) Cancel(id uint64) bool {
	w, ok := q.waiting[id]
	if !ok {
		return false
	}
	q.remove(w)
	return true
}

// Expire removes and returns the tickets that can no longer make their
// deadline, by deadline.
func (q *Queue) Expire(now time.Time) []Ticket {
	var expired []Ticket
	for len(q.expiry) > 0 {
		w := q.expiry[0]
		if !now.Add(q.load.service).After(w.ticket.Deadline) {
			break
		}
		q.remove(w)
		expired = append(expired, w.ticket)
	}
	return expired
}

// NextExpiry returns when Expire will next have something to return; false when
// no waiting ticket has a deadline.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].ticket.Deadline.Add(-q.load.service), true
}

// Len returns how many tickets wait.
func (q *Queue) Len() int { return len(q.waiting) }

// RetryAfter returns what a caller whose ticket t leaves the queue now without
// having run is to be told.
func (q *Queue) RetryAfter(now time.Time, t Ticket) time.Duration {
	return q.retryAfter(now, t)
}

func (q *Queue) add(t Ticket) {
	w := q.insert(t)
	q.classes[t.Priority].pushNewest(w)
}

func clamp(p model.Priority) model.Priority {
	return min(max(p, model.PriorityLow), model.PriorityUrgent)
}
