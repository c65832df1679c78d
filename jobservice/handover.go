package jobservice

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/joblog"
)

const (
	// handOverRatio is how many times the leader's processors another daemon must
	// have to be worth a take-over, which costs some 0.2 s of leading.
	handOverRatio = 2.0
	// handOverReads is how many reads of the members in a row must show it: one
	// whose entry has just come may be gone again.
	handOverReads = 2
	// handOverPause is the least time between two tries of a daemon: the others
	// may be unable to lead for a reason that their entries do not show.
	handOverPause = 30 * time.Second
)

// handOver decides when a leader with few processors gives the lead up to a
// daemon with more. It gets the lead while the larger ones are without the store,
// and would keep it: with a fifth of a core and 350 workers it is behind for
// seconds, and one notices by tasks that are not started again in time.
//
// It belongs to the goroutine that follows the members.
type handOver struct {
	own float64
	// triedAt is when the daemon gave the lead up last, in nanoseconds of the
	// clock. It outlives the term.
	triedAt *atomic.Int64
	reads   int
}

// due takes in the daemons that are there, and reports whether the lead is to be
// given up now.
func (h *handOver) due(now time.Time, others []Relay) bool {
	tried := h.triedAt.Load()
	if !h.outweighed(others) || tried != 0 && now.Sub(time.Unix(0, tried)) < handOverPause {
		h.reads = 0
		return false
	}
	if h.reads++; h.reads < handOverReads {
		return false
	}
	h.triedAt.Store(now.UnixNano())
	return true
}

func (h *handOver) outweighed(others []Relay) bool {
	for _, c := range others {
		if c.Weight >= handOverRatio*h.own {
			return true
		}
	}
	return false
}

// handTheLeadOver ends the term in favor of another daemon, which is faster to
// take a lead that is free, see giveWay.
func (t *term) handTheLeadOver() {
	t.leader.log.WithFields(logrus.Fields{"epoch": t.epoch, "processors": t.leader.o.Processors}).Info(joblog.MessageLeadershipHandedOver)
	t.handedOver.Store(true)
	t.end()
}
