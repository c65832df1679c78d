package admission

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Ticket is one request that needs a slot.
type Ticket struct {
	// ID is assigned by the caller and is unique within a queue while the
	// ticket waits.
	ID       uint64
	Priority model.Priority
	// Deadline is when the caller gives up. A zero deadline means none.
	Deadline time.Time
	// Enqueued is when the request arrived.
	Enqueued time.Time
}

// Outcome is the result of offering a ticket.
type Outcome uint8

// The outcomes of Offer.
const (
	// Queued: the ticket waits. It leaves the queue by Next, expiry, Cancel or
	// eviction.
	Queued Outcome = iota
	// Shed: the ticket was refused and is not in the queue.
	Shed
)

// ShedReason says why a ticket was refused or evicted.
type ShedReason uint8

// The reasons for shedding a ticket.
const (
	ReasonNone ShedReason = iota
	// ReasonFull: MaxQueued tickets of the same or a higher priority wait.
	ReasonFull
	// ReasonDeadline: the predicted wait and service time end after the
	// deadline.
	ReasonDeadline
	// ReasonOverload: the queue has not been empty for StandingInterval, and
	// the predicted wait exceeds TargetWait.
	ReasonOverload
	// ReasonNoCapacity: the service has no slots at this entry.
	ReasonNoCapacity
	// ReasonEvicted: a request of higher priority took the ticket's place.
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

// Verdict is the result of Offer.
type Verdict struct {
	Outcome Outcome
	// Reason and RetryAfter are set when the ticket was shed. RetryAfter is
	// also set when another ticket was evicted, for the response to that
	// ticket's caller.
	Reason     ShedReason
	RetryAfter time.Duration
	// Evicted, when not nil, is a waiting ticket of lower priority that was
	// shed to make room. Its caller must now be sent a response with
	// RetryAfter.
	Evicted *Ticket
}
