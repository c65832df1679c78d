package speculation

import (
	"cmp"
	"time"
)

const (
	// maxRoomShare is the largest share of a service's room that copies take at once, and
	// maxTaskShare how many copies there may be for each of its attempts. Few tasks are
	// slow by chance; if many are, copies of all of them would double the load.
	maxRoomShare = 0.05
	maxTaskShare = 0.1
	// minFreeShare is the share of the room that stays free for tasks that arrive while
	// copies run.
	minFreeShare = 0.1
)

// Budget is what copies of the tasks of one service may take. Room is in thousandths of a
// core and does not include what long-running tasks take.
type Budget struct {
	// Room is the capacity of the usable workers, Free what of it is not committed.
	Room, Free int64
	// Attempts counts the attempts on these workers, Copies those that are copies.
	Attempts, Copies int
	// CopyRoom is what the copies take.
	CopyRoom int64
}

// Allows reports whether a copy of the given size, in thousandths of a core, may be
// started. One copy at a time is allowed on any service with enough free room.
func (b Budget) Allows(milliCPU int64) bool {
	if float64(b.Free-milliCPU) < minFreeShare*float64(b.Room) {
		return false
	}
	withinRoom := float64(b.CopyRoom+milliCPU) <= maxRoomShare*float64(b.Room)
	withinTasks := float64(b.Copies+1) <= maxTaskShare*float64(b.Attempts)
	return b.Copies == 0 || withinRoom && withinTasks
}

// Take counts a copy that is started.
func (b *Budget) Take(milliCPU int64) {
	b.Attempts, b.Copies = b.Attempts+1, b.Copies+1
	b.Free, b.CopyRoom = b.Free-milliCPU, b.CopyRoom+milliCPU
}

// Rank is what decides which of several copies is started first.
type Rank struct {
	// Last is whether the step waits for nothing but slow tasks.
	Last bool
	// Gain is how much earlier the copy is expected to end than the attempt.
	Gain time.Duration
}

// Compare orders the copy that is to be started first before the other.
func (r Rank) Compare(other Rank) int {
	if r.Last != other.Last {
		if r.Last {
			return -1
		}
		return 1
	}
	return cmp.Compare(other.Gain, r.Gain)
}
