package admission

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Ticket is one request that asks for a slot.
type Ticket struct {
	// ID is the caller's, unique within a queue while the ticket waits.
	ID       uint64
	Priority model.Priority
	// Deadline is when the caller gives up. A zero deadline is none.
	Deadline time.Time
	// Enqueued is when the request arrived.
	Enqueued time.Time
}

// Outcome says what became of an offered ticket.
type Outcome uint8

// The outcomes of Offer.
const (
	// Queued: the ticket waits; it leaves by Next, Cancel or eviction.
	Queued Outcome = iota
	// Shed: the ticket was refused and is not held.
	Shed
)

// ShedReason says why a ticket was refused or dropped.
type ShedReason uint8

// The reasons.
const (
	ReasonNone ShedReason = iota
	// ReasonFull: MaxQueued tickets of the same or a higher priority wait.
	ReasonFull
	// ReasonDeadline: the predicted wait and service time end past the
	// deadline.
	ReasonDeadline
	// ReasonOverload: the queue has stood for an interval, and the predicted
	// wait is above the target that then holds.
	ReasonOverload
	// ReasonNoCapacity: the service has no slots here.
	ReasonNoCapacity
	// ReasonEvicted: a request of higher priority took the place.
	ReasonEvicted
)

var reasonNames = [...]string{"none", "queue full", "deadline", "overload", "no capacity", "evicted"}

// String returns the reason's name.
func (r ShedReason) String() string {
	if int(r) >= len(reasonNames) {
		return "invalid"
	}
	return reasonNames[r]
}

// Verdict is the answer to Offer.
type Verdict struct {
	Outcome Outcome
	// Reason and RetryAfter are set when the ticket was shed. RetryAfter is
	// also what an evicted ticket's caller is told.
	Reason     ShedReason
	RetryAfter time.Duration
	// Evicted, when not nil, is a waiting ticket of lower priority that was
	// shed to make room; its caller is to be answered now, with RetryAfter.
	Evicted *Ticket
}
