package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/roomshares"
)

// RoomShare describes the share of one queue's long-running or other tasks, in fractions
// of the room that is divided.
type RoomShare struct {
	Queue       string
	LongRunning bool
	// Used and Wanted are what its tasks take, and would take in addition. Share is what
	// they are entitled to, Reserve what short tasks have lately wanted.
	Used, Wanted, Share, Reserve float64
}

// Work names the kind of tasks: "long-running" or "short".
func (s *RoomShare) Work() string {
	if s.LongRunning {
		return "long-running"
	}
	return "short"
}

// RoomShares returns the shares as of the last pass; none if room is not shared.
func (m *Machine) RoomShares() []RoomShare {
	shares := make([]RoomShare, len(m.shares.ordered))
	for i, c := range m.shares.ordered {
		shares[i] = c.view()
	}
	return shares
}

func (c *roomClass) view() RoomShare {
	return RoomShare{
		Queue: c.key.queue, LongRunning: c.key.longRunning,
		Used:   roomshares.DominantShare(c.used, c.divided),
		Wanted: roomshares.DominantShare(c.wanted(), c.divided), Share: c.entitlement.Share,
		Reserve: roomshares.DominantShare(c.reserve.Room(), c.divided),
	}
}

// shareNoteDelay is how long a share must hold nothing until it is noted as free.
const shareNoteDelay = time.Second

// noteBindingShares notes the shares that have begun to keep tasks from starting, and
// those that no longer do.
func (m *Machine) noteBindingShares() {
	for _, c := range m.shares.ordered {
		binds := !c.heldAt.IsZero() && m.now.Sub(c.heldAt) < shareNoteDelay
		if binds == c.isBinding {
			continue
		}
		c.isBinding = binds
		decision := joblog.MessageShareFree
		if binds {
			decision = joblog.MessageShareBinds
		}
		m.emit(Note{Decision: decision, Reason: m.describeShares(c)})
	}
}

// describeShares returns the inputs of the division that a class takes part in.
func (m *Machine) describeShares(c *roomClass) string {
	text := fmt.Sprintf("long-running tasks of queue %s may start within their share; of %s cores", c.key.queue, cores(c.divided.MilliCPU))
	for _, other := range m.shares.ordered {
		if other.queue.Service != c.queue.Service || other.entitlement.Wanted == 0 {
			continue
		}
		v := other.view()
		text += fmt.Sprintf("; %s %s: used %.2f, wanted %.2f, share %.2f, reserve %.2f", v.Queue, v.Work(), v.Used, v.Wanted, v.Share, v.Reserve)
	}
	return text
}
