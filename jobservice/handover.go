package jobservice

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/joblog"
)

const (
	// handoverRatio is how many times the leader's processors another daemon must
	// have to justify a takeover, which costs some 0.2 s without a leader.
	handoverRatio = 2.0
	// handoverReads is how many consecutive reads of the members must show such a
	// daemon: one whose entry has just appeared may be gone again.
	handoverReads = 2
	// handoverPause is the minimum time between two handovers of a daemon: the others
	// may be unable to lead for a reason that their entries do not show.
	handoverPause = 30 * time.Second
)

// handoverDecider decides when a leader with few processors hands leadership over to
// a daemon with more. Such a leader takes over while the larger daemons cannot reach
// the store, and would otherwise remain the leader. With a fifth of a core and 350
// workers it is behind for seconds; the symptom is tasks that are not restarted in
// time.
//
// It belongs to the goroutine that polls the members.
type handoverDecider struct {
	own float64
	// triedAt is when the daemon last handed leadership over, in nanoseconds of the
	// clock. It outlives the term.
	triedAt *atomic.Int64
	// reads counts the consecutive reads that showed a larger daemon.
	reads int
}

// shouldHandOver takes the other daemons as just read, and reports whether leadership
// is to be handed over now.
func (h *handoverDecider) shouldHandOver(now time.Time, others []Relay) bool {
	tried := h.triedAt.Load()
	if !h.hasLargerPeer(others) || tried != 0 && now.Sub(time.Unix(0, tried)) < handoverPause {
		h.reads = 0
		return false
	}
	if h.reads++; h.reads < handoverReads {
		return false
	}
	h.triedAt.Store(now.UnixNano())
	return true
}

// hasLargerPeer reports whether another daemon has enough processors to justify a
// takeover.
func (h *handoverDecider) hasLargerPeer(others []Relay) bool {
	for _, c := range others {
		if c.Weight >= handoverRatio*h.own {
			return true
		}
	}
	return false
}

// handOverLead ends the term in favor of a daemon with more processors, which takes
// over a free leadership sooner; see delayCampaign.
func (t *term) handOverLead() {
	t.leader.log.WithFields(logrus.Fields{"epoch": t.epoch, "processors": t.leader.o.Processors}).Info(joblog.MessageLeadershipHandedOver)
	t.releaseLead()
}

// releaseLead ends the term so that another daemon can take over at once.
func (t *term) releaseLead() {
	t.handedOver.Store(true)
	t.end()
}
