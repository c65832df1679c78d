package ownership

import (
	"errors"
	"time"

	"github.com/guavarill/guavarill/port"
)

// renewalsPerTTL is the number of renewals within one LeaseTTL, such that two can
// fail before the lease gets close to its expiry.
const renewalsPerTTL = 3

// lease is this daemon's lease in the store.
type lease struct {
	// id is 0 while the daemon has no lease.
	id       port.LeaseID
	granting bool
	renewing bool
	// expires is earlier than the expiry in the store: it is counted from when
	// the last answered request was sent, which is before the store received it.
	expires time.Time
	// nextCall is the time of the next renewal or request for a lease.
	nextCall time.Time
	// renewalUnanswered is set when the store did not answer a renewal, and
	// cleared by a successful one. It distinguishes an outage, during which
	// this daemon tried to renew, from a pause, during which it did not.
	renewalUnanswered bool
	retry             backoff
}

func (m *Machine) noLease() lease {
	return lease{retry: backoff{
		min: m.options.RetryMin, max: m.options.RetryMax, random: m.random,
	}}
}

// validWithMargin reports whether the lease has more than margin left.
func (l *lease) validWithMargin(now time.Time, margin time.Duration) bool {
	return l.id != 0 && now.Before(l.expires.Add(-margin))
}

// checkLease gives up all shards and revokes the lease once it has expired and
// the shards are not retained any longer.
func (m *Machine) checkLease(now time.Time) []Command {
	if m.lease.id == 0 || now.Before(m.giveUpAt()) {
		return nil
	}
	commands := m.giveUpAll(now, LostLeaseLapsed)
	return append(commands, m.revoke()...)
}

// giveUpAt returns the time at which the shards are given up. After renewals
// that the store did not answer, the shards are kept while the outage is
// confirmed and for LapsedLeaseRetention after that, because the store extends
// leases over its own outages and the lease may still be valid. The daemon does
// not act for the shards in that time, except as MayRenew permits.
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

// giveUpAll gives up all shards. Responses to acquires under the lease that are
// still in flight will be ignored.
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

// revoke ends the lease, so that other daemons need not wait for its expiry.
// The store deletes with it any owner key that was written by an acquire whose
// response was lost.
func (m *Machine) revoke() []Command {
	id := m.lease.id
	m.lease = m.noLease()
	if id == 0 {
		return nil
	}
	return []Command{RevokeLease{ID: id}}
}

// driveLease requests a lease when one is needed, renews it when due, and
// revokes it when it is not needed any more.
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
	case ev.Err == nil || kindOf(ev.Err) == port.StoreLeaseNotFound:
		return m.leaseGone(now)
	}
	m.lease.nextCall = m.lease.retry.next(now)
	m.lease.renewalUnanswered = m.lease.renewalUnanswered || isUnanswered(kindOf(ev.Err))
	return nil
}

// leaseGone gives up all shards because the store does not know the lease.
func (m *Machine) leaseGone(now time.Time) []Command {
	commands := m.giveUpAll(now, LostLeaseGone)
	m.lease = m.noLease()
	return commands
}

// isUnanswered reports whether a call failed because the store did not answer,
// and not because this daemon did not make the call.
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

// isNotDone reports whether a failed transaction was certainly not applied.
func isNotDone(err error) bool {
	var failure *port.StoreError
	return errors.As(err, &failure) && failure.Outcome == port.OutcomeNotDone
}
