package jobservice

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// suspensionTick is how often the daemon notes that it runs.
	suspensionTick = 250 * time.Millisecond
	// maxSuspension is the longest suspension after which submissions are stored as
	// usual. The lateness of the store added, it is below minTombstoneTime.
	maxSuspension = 8 * time.Second
	// resumeTime is how long after a longer suspension submissions may have arrived before
	// it: until then all sockets have been read.
	resumeTime = time.Second
)

// suspensions notices that the daemon was suspended, as a process or with its VM. A
// submission that lay in a socket meanwhile may be older than the records of what its
// caller has been told since by other daemons. The zero value notices nothing.
type suspensions struct {
	mu sync.Mutex
	// ranAt is when the daemon last noted that it runs; zero before the first time.
	ranAt time.Time
	// length is that of the last suspension of more than maxSuspension, and resumedAt when
	// it was noticed.
	length    time.Duration
	resumedAt time.Time
}

// note notes that the daemon runs.
func (s *suspensions) note(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now)
	s.ranAt = now
}

// last returns the length of a suspension from which the daemon has just resumed, 0 if
// there was none.
func (s *suspensions) last(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now)
	if s.length == 0 || now.Sub(s.resumedAt) > resumeTime {
		return 0
	}
	return s.length
}

func (s *suspensions) update(now time.Time) {
	if length := now.Sub(s.ranAt); !s.ranAt.IsZero() && length > maxSuspension {
		s.length, s.resumedAt, s.ranAt = length, now, now
	}
}

// SuspendedError reports a submission that was not stored because the daemon has just
// resumed from a suspension, and the submission may have arrived before it.
type SuspendedError struct{ Length time.Duration }

// Error implements error.
func (e *SuspendedError) Error() string {
	return fmt.Sprintf("the daemon was suspended for %s, and the submission may be older", e.Length.Round(time.Millisecond))
}

// Run notices suspensions of the daemon until ctx ends.
func (in *Intake) Run(ctx context.Context) {
	for Pause(ctx, suspensionTick) {
		in.suspensions.note(in.clock.Now())
	}
}
