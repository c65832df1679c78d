package membership

import (
	"errors"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// handleRequest processes a request of another daemon.
func (m *Machine) handleRequest(ev Received) {
	before := m.priorStateOf(ev.From)
	r := m.mergeSender(ev.From)
	if r == nil {
		return
	}
	m.noteContact(before.hasRecovered(r))
	m.mergeRecords(r, ev.Members)
	m.exchangeDoubtful()
}

// handleExchangeDone processes the end of an exchange.
func (m *Machine) handleExchangeDone(ev ExchangeDone) {
	r := m.members[ev.Peer]
	if r == nil {
		return
	}
	started := ev.Started
	if started.IsZero() {
		started = r.exchangedAt
		r.inFlight = false
	}
	switch {
	case ev.Err == nil && ev.Resp != nil:
		m.handleResponse(r, ev.Resp, started)
	case isReachable(ev.Err):
		m.lastContact = m.now
		m.failed = 0
		r.failures = 0
	default:
		m.handleFailure(r, started)
	}
}

// isReachable reports whether a failed exchange still shows that the daemon
// runs, because it is overloaded or uses an older protocol. Counting such
// errors as failures would remove daemons during an upgrade.
func isReachable(err error) bool {
	var pe *port.PeerError
	return errors.As(err, &pe) &&
		(pe.Kind == port.PeerRefused || pe.Kind == port.PeerOtherProtocol)
}

func (m *Machine) handleResponse(r *record, resp *peerv1.ExchangeResponse, started time.Time) {
	sender := resp.GetSender()
	if model.DaemonID(sender.GetId()) != r.ID {
		m.handleOtherResponder(r, sender, started)
		return
	}
	before := m.priorStateOf(sender)
	if m.mergeSender(sender) == nil {
		m.handleFailure(r, started)
		return
	}
	m.noteContact(before.hasRecovered(r))
	r.setStoreStatus(m.now, started)
	if r.State != Dead {
		m.recover(r)
	}
	m.mergeRecords(r, resp.GetMembers())
	m.exchangeDoubtful()
}

// priorState is what was known of a message's sender before the message.
type priorState struct {
	suspect bool
	started int64
}

func (m *Machine) priorStateOf(p *peerv1.Member) priorState {
	r := m.members[model.DaemonID(p.GetId())]
	if r == nil {
		return priorState{}
	}
	return priorState{suspect: r.State == Suspect, started: r.Started.UnixMilli()}
}

// hasRecovered reports whether the member was suspect and has not restarted
// since, which means that the network path to it had failed.
func (e priorState) hasRecovered(r *record) bool {
	return e.suspect && e.started == r.Started.UnixMilli()
}

// handleOtherResponder processes a response from a daemon other than the one
// contacted: a replacement VM that has the old VM's address.
func (m *Machine) handleOtherResponder(r *record, sender *peerv1.Member, started time.Time) {
	other := m.mergeSender(sender)
	if other == nil {
		m.handleFailure(r, started)
		return
	}
	m.noteContact(false)
	switch {
	case r.State == Dead:
	case r.State == Listed && other.Address == r.Address:
		m.remove(r.ID)
		m.changed = true
	default:
		m.handleFailure(r, started)
	}
}

func (m *Machine) handleFailure(r *record, started time.Time) {
	m.stats.Failures++
	m.failed++
	r.failures++
	r.failedAt = started
	if r.State != Alive && r.State != Leaving {
		return
	}
	// A member that others have reported becomes suspect after one failure
	// here, because those reporters have already seen repeated failures.
	if r.failures >= m.o.SuspectAfter || len(r.reports) > 0 {
		m.suspect(r)
	}
}
