package admission

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Queue holds the requests of one service that wait for a slot. It is not safe
// for concurrent use.
type Queue struct {
	o       Options
	classes [model.NumPriorities]class
	waiting map[uint64]*waiter
	expiry  expiryHeap
	load    load
	// free and total are the values of the last call of SetSlots; Next and
	// Requeue adjust free.
	free, total int
	// standingSince is the time since which tickets have waited without
	// interruption; zero when none waits.
	standingSince time.Time
	// emptySince is the time since which the queue has been empty.
	emptySince time.Time
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

// SetSlots sets how many slots the service has at this entry and how many of
// them are free. It must be called before Offer and Next whenever either number
// changed.
func (q *Queue) SetSlots(free, total int) {
	q.free = max(free, 0)
	q.total = max(total, 0)
}

// Observe records the service time of an answered request, measured from taking
// the slot to freeing it.
func (q *Queue) Observe(_ time.Time, service time.Duration) {
	q.load.observe(service)
}

// Offer asks for a place in the queue for t. A queued ticket may be due
// immediately, so Offer should be followed by Next.
func (q *Queue) Offer(now time.Time, t Ticket) Verdict {
	t.Priority = clampPriority(t.Priority)
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

// refusal returns why t must be shed even if the queue has room, or ReasonNone.
func (q *Queue) refusal(now time.Time, t Ticket) ShedReason {
	if q.total == 0 {
		return ReasonNoCapacity
	}
	wait := q.predictedWait(t.Priority)
	if !t.Deadline.IsZero() && now.Add(wait+q.load.serviceTime).After(t.Deadline) {
		return ReasonDeadline
	}
	if q.overloaded && t.Priority < model.PriorityUrgent && wait > q.targetWait() {
		return ReasonOverload
	}
	return ReasonNone
}

func (q *Queue) targetWait() time.Duration {
	return time.Duration(q.o.TargetWait * float64(q.load.serviceTime))
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

// Next takes the ticket that gets the next free slot. The second result is
// false when no ticket waits or when the free slots are reserved for urgent
// ones. The list contains tickets that can no longer meet their deadline: they
// have left the queue, and the caller must report them as not run.
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
	reserved := q.free <= q.reserve()
	best := model.Priority(-1)
	for p := model.PriorityUrgent; p >= 0; p-- {
		c := &q.classes[p]
		if c.oldest == nil || (reserved && p < model.PriorityUrgent) {
			continue
		}
		if best < 0 || c.passedOver >= maxPassedOver[p] {
			best = p
		}
	}
	return best, best >= 0
}

// passOver counts the slot given to priority p as a pass-over of each lower
// priority with waiting tickets.
func (q *Queue) passOver(p model.Priority) {
	for lower := range p {
		if q.classes[lower].oldest != nil {
			q.classes[lower].passedOver++
		}
	}
	q.classes[p].passedOver = 0
}

// reserve is how many free slots are currently reserved for urgent tickets.
func (q *Queue) reserve() int {
	if !q.overloaded || !q.load.hasUrgentArrivals() {
		return 0
	}
	return int(q.o.UrgentReserve * float64(q.total))
}

// Requeue puts a ticket returned by Next back at the head of its priority,
// because no target was found for it. It is not counted as an arrival.
func (q *Queue) Requeue(now time.Time, t Ticket) {
	t.Priority = clampPriority(t.Priority)
	w := q.insert(t)
	q.classes[t.Priority].pushOldest(w)
	q.free++
	if q.standingSince.IsZero() {
		q.standingSince = now
	}
}

// Last returns the waiting ticket that is expected to wait longest and leaves
// it in the queue; Cancel removes it. A slot that is not good enough for the
// next tickets can still shorten its wait. When all tickets have the same
// priority, that is the newest one. Otherwise it is the oldest ticket of the
// lowest priority: all higher priorities overtake it, and serving the newest
// instead would let that one overtake the other tickets of the lowest priority.
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

// Ahead returns how many slots are expected to go to others before a ticket of
// priority p that is, or would be, the newest of its priority: those of the
// tickets waiting ahead of it, and those of later arrivals of higher priority.
func (q *Queue) Ahead(p model.Priority) int {
	p = clampPriority(p)
	return int(float64(q.before(p)) / (1 - q.load.higherPriorityLoad(p, q.total)))
}

// Cancel removes a waiting ticket. It returns false if the ticket is not in the
// queue.
func (q *Queue) Cancel(id uint64) bool {
	w, ok := q.waiting[id]
	if !ok {
		return false
	}
	q.remove(w)
	return true
}

// Expire removes and returns the tickets that can no longer meet their
// deadline, sorted by deadline.
func (q *Queue) Expire(now time.Time) []Ticket {
	var expired []Ticket
	for len(q.expiry) > 0 {
		w := q.expiry[0]
		if !now.Add(q.load.serviceTime).After(w.ticket.Deadline) {
			break
		}
		q.remove(w)
		expired = append(expired, w.ticket)
	}
	return expired
}

// NextExpiry returns when Expire will next return a ticket; false when no
// waiting ticket has a deadline.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].ticket.Deadline.Add(-q.load.serviceTime), true
}

// Len returns how many tickets wait.
func (q *Queue) Len() int { return len(q.waiting) }

// RetryAfter returns the retry delay for the caller of ticket t, which leaves
// the queue now without having run.
func (q *Queue) RetryAfter(now time.Time, t Ticket) time.Duration {
	return q.retryAfter(now, t)
}

func (q *Queue) add(t Ticket) {
	w := q.insert(t)
	q.classes[t.Priority].pushNewest(w)
}

func clampPriority(p model.Priority) model.Priority {
	return min(max(p, model.PriorityLow), model.PriorityUrgent)
}
