package ownership

import (
	"errors"
	"time"

	"github.com/guavarill/guavarill/port"
)

// renewalsPerTTL is how many times a lease is renewed in its time, so that two may
// fail before it is unsure.
const renewalsPerTTL = 3

// lease is this daemon's lease in the store.
type lease struct {
	// id is 0 while there is none.
	id       port.LeaseID
	granting bool
	renewing bool
	// expires is before the store lets the lease lapse: it counts from when the
	// last answered request was sent, which is before the store received it.
	expires time.Time
	// nextCall is when to renew, or to ask for a lease again.
	nextCall time.Time
	// renewalUnanswered is set when the last renewal failed for want of an answer. It
	// tells an outage, in which this daemon tried, from a pause, in which it
	// did not.
	renewalUnanswered bool
	retry      backoff
}

func (m *Machine) noLease() lease {
	return lease{retry: backoff{
		min: m.options.RetryMin, max: m.options.RetryMax, random: m.random,
	}}
}

// validWithMargin reports whether the lease holds with the margin to spare.
func (l *lease) validWithMargin(now time.Time, margin time.Duration) bool {
	return l.id != 0 && now.Before(l.expires.Add(-margin))
}

// checkLease gives all shards up when the lease's time has run out.
func (m *Machine) checkLease(now time.Time) []Command {
	if m.lease.id == 0 || now.Before(m.giveUpAt()) {
		return nil
	}
	commands := m.giveUpAll(now, LostLeaseLapsed)
	return append(commands, m.revoke()...)
}

// giveUpAt is when the shards are given up. After renewals that the store did
// not answer they are kept, without acting on them unless MayRenew says so, as
// long as the outage is confirmed and a while longer: the store extends leases
// over its own outages, and the lease may turn out to hold.
func (m *Machine) giveUpAt() time.Time {
	if !m.lease.renewalUnanswered {
		return m.lease.expires
	}
	confirmed := m.silenceConfirmedAt.Add(m.options.OutageGrace)
	return latest(m.lease.expires, confirmed).Add(m.options.LapsedLeaseRetention)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// giveUpAll gives up all shards and forgets the lease's calls about them.
func (m *Machine) giveUpAll(now time.Time, reason LostReason) []Command {
	var commands []Command
	for _, s := range m.shards {
		if s.owned {
			commands = append(commands, ShardLost{Shard: s.id, Reason: reason})
		}
		s.clearOwnership()
		s.nextCall = s.retry.next(now)
	}
	return commands
}

// revoke ends the lease, so that the shards under it need not wait for its
// time, and keys that a lost acquire may have put go with it.
func (m *Machine) revoke() []Command {
	id := m.lease.id
	m.lease = m.noLease()
	if id == 0 {
		return nil
	}
	return []Command{RevokeLease{ID: id}}
}

// driveLease asks for a lease when one is needed, and renews it.
func (m *Machine) driveLease(now time.Time) []Command {
	l := &m.lease
	switch {
	case l.granting || l.renewing:
		return nil
	case !m.needsLease(now):
		if m.draining {
			return nil
		}
		return m.revoke()
	case now.Before(l.nextCall):
		return nil
	case l.id == 0:
		l.granting = true
		return []Command{GrantLease{TTL: m.options.LeaseTTL}}
	}
	l.renewing = true
	return []Command{KeepAlive{ID: l.id}}
}

func (m *Machine) needsLease(now time.Time) bool {
	for _, s := range m.shards {
		if s.owned || s.releasing || s.call == acquireCall || s.inDoubt(now) {
			return true
		}
		if !m.draining && m.mayAcquire(now, s) {
			return true
		}
	}
	return false
}

func (m *Machine) leaseGranted(now time.Time, ev LeaseGranted) {
	if !m.lease.granting {
		return
	}
	m.lease.granting = false
	if ev.Err != nil {
		m.lease.nextCall = m.lease.retry.next(now)
		return
	}
	m.lease.id = ev.ID
	m.leaseExtended(ev.SentAt, ev.TTL)
}

func (m *Machine) leaseExtended(sentAt time.Time, ttl time.Duration) {
	m.lease.expires = latest(m.lease.expires, sentAt.Add(ttl))
	m.lease.nextCall = sentAt.Add(ttl / renewalsPerTTL)
	m.lease.renewalUnanswered = false
	m.lease.retry.reset()
}

func (m *Machine) keptAlive(now time.Time, ev KeptAlive) []Command {
	if ev.ID != m.lease.id || !m.lease.renewing {
		return nil
	}
	m.lease.renewing = false
	switch {
	case ev.Err == nil && ev.TTL > 0:
		m.leaseExtended(ev.SentAt, ev.TTL)
		return nil
	case ev.Err == nil || kindOf(ev.Err) == port.StoreLeaseGone:
		return m.leaseGone(now)
	}
	m.lease.nextCall = m.lease.retry.next(now)
	m.lease.renewalUnanswered = m.lease.renewalUnanswered || isUnanswered(kindOf(ev.Err))
	return nil
}

// leaseGone gives all shards up because the store does not know the lease.
func (m *Machine) leaseGone(now time.Time) []Command {
	commands := m.giveUpAll(now, LostLeaseGone)
	m.lease = m.noLease()
	return commands
}

// isUnanswered reports whether a call failed for want of the store's answer,
// rather than because this daemon did not make it.
func isUnanswered(kind port.StoreErrorKind) bool {
	return kind != port.StoreThrottled && kind != port.StoreCallCanceled
}

func kindOf(err error) port.StoreErrorKind {
	var failure *port.StoreError
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return port.StoreUnavailable
}

// isNotDone reports whether a change was certainly not made.
func isNotDone(err error) bool {
	var failure *port.StoreError
	return errors.As(err, &failure) && failure.Outcome == port.OutcomeNotDone
}
