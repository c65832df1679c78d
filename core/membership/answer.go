package membership

import (
	"errors"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// received takes in a request of another daemon.
func (m *Machine) received(ev Received) {
	before := m.remembered(ev.From)
	r := m.fromMember(ev.From)
	if r == nil {
		return
	}
	m.contact(before.back(r))
	m.takeRecords(r, ev.Members)
	m.askDoubtful()
}

// answered takes in the end of an exchange.
func (m *Machine) answered(ev ExchangeDone) {
	r := m.members[ev.Peer]
	if r == nil {
		return
	}
	started := ev.Started
	if started.IsZero() {
		started = r.asked
		r.inFlight = false
	}
	switch {
	case ev.Err == nil && ev.Resp != nil:
		m.gotAnswer(r, ev.Resp, started)
	case reached(ev.Err):
		m.lastContact = m.now
		m.failed = 0
		r.failures = 0
	default:
		m.gotNoAnswer(r, started)
	}
}

// reached is whether a failed exchange still shows that the daemon runs: it
// was overloaded or speaks an older protocol. Taking this for a failure would
// remove daemons during an upgrade.
func reached(err error) bool {
	var pe *port.PeerError
	return errors.As(err, &pe) &&
		(pe.Kind == port.PeerRefused || pe.Kind == port.PeerOtherProtocol)
}

func (m *Machine) gotAnswer(r *record, resp *peerv1.ExchangeResponse, started time.Time) {
	sender := resp.GetSender()
	if model.DaemonID(sender.GetId()) != r.ID {
		m.anotherAnswered(r, sender, started)
		return
	}
	before := m.remembered(sender)
	if m.fromMember(sender) == nil {
		m.gotNoAnswer(r, started)
		return
	}
	m.contact(before.back(r))
	r.takeStore(m.now, started)
	if r.State != Dead {
		m.recover(r)
	}
	m.takeRecords(r, resp.GetMembers())
	m.askDoubtful()
}

// earlier is what was known of a message's sender before the message.
type earlier struct {
	suspect bool
	started int64
}

func (m *Machine) remembered(p *peerv1.Member) earlier {
	r := m.members[model.DaemonID(p.GetId())]
	if r == nil {
		return earlier{}
	}
	return earlier{suspect: r.State == Suspect, started: r.Started.UnixMilli()}
}

// back is whether the member was suspect and has not restarted since: it was
// the way to it that failed.
func (e earlier) back(r *record) bool {
	return e.suspect && e.started == r.Started.UnixMilli()
}

// anotherAnswered handles a VM's replacement that has the old one's address.
func (m *Machine) anotherAnswered(r *record, sender *peerv1.Member, started time.Time) {
	other := m.fromMember(sender)
	if other == nil {
		m.gotNoAnswer(r, started)
		return
	}
	m.contact(false)
	switch {
	case r.State == Dead:
	case r.State == Listed && other.Address == r.Address:
		m.remove(r.ID)
		m.changed = true
	default:
		m.gotNoAnswer(r, started)
	}
}

func (m *Machine) gotNoAnswer(r *record, started time.Time) {
	m.stats.Failures++
	m.failed++
	r.failures++
	r.failedAsked = started
	if r.State != Alive && r.State != Leaving {
		return
	}
	// A member that others report needs no more than one failure here: they
	// had theirs.
	if r.failures >= m.o.SuspectAfter || len(r.reports) > 0 {
		m.suspect(r)
	}
}
