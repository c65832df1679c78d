package routing

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Target is one instance of the service, with the share of it that this entry
// may use.
type Target struct {
	Address string
	Task    model.AttemptKey
	Worker  model.WorkerID
	Zone    model.Zone
	// Leaving targets receive no new requests; requests in flight finish.
	Leaving bool
	// Slots and Connections are this entry's share of the instance. Connections
	// of 0 means no limit.
	Slots       int
	Connections int
}

// Outcome says how an exchange with a target ended.
type Outcome uint8

// The outcomes of an exchange.
const (
	// OK: a complete response was received.
	OK Outcome = iota
	// Failed: the target responded with an error of its own, or broke off the
	// exchange.
	Failed
	// Refused: the target, or its host, reported that it did not start the
	// request.
	Refused
	// Silent: no response arrived in time. The connection may be dead although
	// the target is healthy.
	Silent
	// Canceled: the entry abandoned the exchange for a reason unrelated to the
	// target.
	Canceled
)

// Result is the outcome of an exchange and its duration.
type Result struct {
	Latency time.Duration
	Outcome Outcome
}

// Query describes the request for which a target is chosen.
type Query struct {
	// Avoid lists the addresses that the request has already tried.
	Avoid []string
	// NonIdempotent requests prefer targets that responded recently. They do
	// not probe slow or ejected targets unless the probe is long overdue.
	NonIdempotent bool
	// Ahead is how many requests are expected to get a slot before this one if
	// it gets none now. The larger it is, the slower or farther a target may be
	// taken instead of waiting for a better one.
	Ahead int
}

// Choice is a slot taken on a target. It is valid until Done, which recycles it
// for another request.
type Choice struct {
	b *Balancer
	t *target
	// address and task are copied when the choice is made, because the target's
	// record is replaced under the balancer's lock while callers read them.
	address               string
	task                  model.AttemptKey
	started               time.Time
	overdueAfter          time.Duration
	silenceAfter          time.Duration
	trustSince            time.Time
	requiresNewConnection bool
	overdue               bool
	// A released choice no longer takes a slot, though its exchange may still
	// be in flight.
	released bool
	hold     *heldSlot
}

// Address returns the target's address.
func (c *Choice) Address() string { return c.address }

// Task returns the task attempt that the target runs.
func (c *Choice) Task() model.AttemptKey { return c.task }

// RequiresNewConnection reports that the request must use a new connection: an
// earlier connection to this target became silent, and only a new one shows
// whether the target or the connection is at fault.
func (c *Choice) RequiresNewConnection() bool { return c.requiresNewConnection }

// TrustSince returns the start of the period in which a connection must have
// delivered a response, or been opened, to be used. Older connections may have
// become silent together with one that did. A zero time allows all connections.
func (c *Choice) TrustSince() time.Time { return c.trustSince }

// OverdueAfter returns how long the exchange may stay without a response before
// that is unusual, which happens to about one exchange in a hundred. The caller
// then calls ReportOverdue.
func (c *Choice) OverdueAfter() time.Duration { return c.overdueAfter }

// SilenceAfter returns how long the exchange may stay without a response before
// it is more likely silent than slow. The caller then calls ReportOverdue
// again. A request that may be retried is abandoned at this time, with Done and
// Silent, and sent elsewhere; any other request continues to wait for its
// response.
func (c *Choice) SilenceAfter() time.Duration { return c.silenceAfter }

// ReportOverdue reports that the exchange has no response after OverdueAfter,
// and again after SilenceAfter. The first call makes the entry open new
// connections to the target, which is cheap. The second call also schedules the
// release of the slot, though the request may continue to wait, and marks the
// target suspect unless it responds to other requests. Done must still be
// called.
func (c *Choice) ReportOverdue(now time.Time) { c.b.reportOverdue(c, now) }

// Done returns the slot and updates the target's statistics from the result. It
// must be called exactly once; a second call before the choice is reused has no
// effect.
func (c *Choice) Done(now time.Time, r Result) {
	c.b.done(c, now, r)
}
