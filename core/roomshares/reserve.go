package roomshares

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Reserve is the room that a claimant has lately wanted: a maximum that decays. The
// zero value has seen nothing. It is not safe for concurrent use.
type Reserve struct {
	room model.Resources
	at   time.Time
}

// allowancesToDecay is the time constant of the decay, in allowances of the claimant's
// jobs: load that is back after a pause as long as a job may take finds nine tenths of
// the room that it had.
const allowancesToDecay = 10

// Observe records what the claimant uses and wants now. allowance is how long its jobs
// may take; at 0 nothing is remembered.
func (r *Reserve) Observe(now time.Time, wanted model.Resources, allowance time.Duration) {
	r.room = r.decayed(now, allowance).Max(wanted)
	r.at = now
}

// Room returns the room as of the last observation.
func (r *Reserve) Room() model.Resources { return r.room }

func (r *Reserve) decayed(now time.Time, allowance time.Duration) model.Resources {
	if r.at.IsZero() || allowance <= 0 {
		return model.Resources{}
	}
	left := math.Exp(-now.Sub(r.at).Seconds() / (allowancesToDecay * allowance.Seconds()))
	keep := func(amount int64) int64 { return int64(math.Round(float64(amount) * left)) }
	return model.Resources{
		MilliCPU: keep(r.room.MilliCPU), MemoryMB: keep(r.room.MemoryMB), Accelerators: keep(r.room.Accelerators),
	}
}
