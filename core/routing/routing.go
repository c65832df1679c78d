package routing

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Target is one instance of the service as the entry may use it.
type Target struct {
	Address string
	Task    model.AttemptKey
	Worker  model.WorkerID
	Zone    model.Zone
	// Leaving targets get nothing new; requests in flight finish.
	Leaving bool
	// Slots and Connections are this entry's share of the instance.
	// Connections of 0 means that they are not limited.
	Slots       int
	Connections int
}

// Outcome says how an exchange with a target ended.
type Outcome uint8

// The outcomes of an exchange.
const (
	// OK: a whole answer came.
	OK Outcome = iota
	// Failed: the target answered with an error of its own, or broke the
	// exchange.
	Failed
	// Refused: the target, or its host, said that it did not start.
	Refused
	// Silent: no answer came in the time given; the connection may be dead
	// while the target is well.
	Silent
	// Canceled: the entry gave up for a reason that says nothing of the
	// target.
	Canceled
)

// Result is how an exchange ended and how long it took.
type Result struct {
	Latency time.Duration
	Outcome Outcome
}

// Query is what a request asks of its target.
type Query struct {
	// Avoid lists addresses that the request has already tried.
	Avoid []string
	// NonIdempotent requests prefer targets that answered lately, and are not
	// used to try out doubtful ones.
	NonIdempotent bool
	// Ahead is how many requests are expected to get a slot before this one
	// if it gets none now. The more, the slower or farther a target may be
	// taken rather than waiting for a better one.
	Ahead int
}

// Choice is a slot taken on a target. It is valid until Done, which makes it
// available for another request.
type Choice struct {
	b *Balancer
	t *target
	// address and task are copied when the choice is made: the target's record
	// is replaced under the balancer's lock while traffic reads them.
	address      string
	task         model.AttemptKey
	started      time.Time
	overdueAfter time.Duration
	silenceAfter time.Duration
	trustSince   time.Time
	fresh        bool
	overdue      bool
	// released choices no longer take a slot, though their exchange goes on.
	released bool
	limbo    *limboSlot
}

// Address returns the target's address.
func (c *Choice) Address() string { return c.address }

// Task returns the attempt that the target runs.
func (c *Choice) Task() model.AttemptKey { return c.task }

// RequiresNewConnection reports that the request must go over a new connection: an earlier
// one to this target went silent, and only a new one can tell whether the
// target or the connection is at fault.
func (c *Choice) RequiresNewConnection() bool { return c.fresh }

// TrustSince returns the time since when a connection must have carried an
// answer, or have been opened, to be used: older ones may have gone silent
// together with one that did. A zero time trusts all.
func (c *Choice) TrustSince() time.Time { return c.trustSince }

// OverdueAfter returns how long the exchange may stay unanswered before it is
// unusual, in about one of a hundred cases. Overdue is to be called then.
func (c *Choice) OverdueAfter() time.Duration { return c.overdueAfter }

// SilenceAfter returns how long the exchange may stay unanswered before it is
// more likely silent than slow. Overdue is to be called then, too. A request
// that may be sent again is then given up here, with Done and Silent, and sent
// elsewhere; one that may not goes on waiting for its answer.
func (c *Choice) SilenceAfter() time.Duration { return c.silenceAfter }

// ReportOverdue tells that the exchange is still unanswered after OverdueAfter, and
// again after SilenceAfter. The first makes the entry open new connections to
// the target, which costs little. The second also gives the slot back after a
// while, though the request may go on waiting, and, unless the target answers
// others, tries it with one request at a time. Done is still to be called.
func (c *Choice) ReportOverdue(now time.Time) { c.b.overdue(c, now) }

// Done gives the slot back and learns from the result. Call it exactly once;
// a second call before the choice is used again does nothing.
func (c *Choice) Done(now time.Time, r Result) {
	c.b.done(c, now, r)
}
