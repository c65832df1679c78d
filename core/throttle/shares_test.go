package throttle

import (
	"testing"
	"time"
)

var epoch = time.UnixMilli(1_700_000_000_000)

const (
	// readingInterval is the time between two readings.
	readingInterval = 500 * time.Millisecond
	shownAfter      = 600 * time.Millisecond
)

// work returns work of which all or none is known to disturb.
func work(allowed int, disturbs bool) Work {
	return Work{
		Allowed: func() int { return allowed }, Disturbs: func() bool { return disturbs }, ShownAfter: shownAfter,
	}
}

// read takes in readings for a while, and returns the time after them.
func read(s *Shares, now time.Time, pressure float64, duration time.Duration, w Work) time.Time {
	for end := now.Add(duration); now.Before(end); now = now.Add(readingInterval) {
		s.Measure(now, pressure)
		s.Adjust(now, w)
	}
	return now
}

// TestSharesFollowThePressure checks by how much the shares change with a first reading,
// and which of them.
func TestSharesFollowThePressure(t *testing.T) {
	tests := []struct {
		name              string
		pressure          float64
		disturbs          bool
		disturbing, other int
	}{
		{"below the target", 0.9, true, FullSpeed, FullSpeed},
		{"slightly above", 1.03, true, FullSpeed, FullSpeed},
		{"above", 1.1, true, 71, FullSpeed},
		{"above, nothing known to disturb", 1.1, false, 71, FullSpeed},
		{"clearly above", 1.2, true, 60, FullSpeed},
		{"clearly above, nothing known to disturb", 1.2, false, FullSpeed, 60},
		{"far above", 4, true, 0, FullSpeed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := FullShares()
			read(&s, epoch, test.pressure, readingInterval, work(FullSpeed, test.disturbs))
			if s.Disturbing != test.disturbing || s.Other != test.other {
				t.Errorf("the shares are %d and %d, want %d and %d", s.Disturbing, s.Other, test.disturbing, test.other)
			}
		})
	}
}

// TestAllWorkStopsUnderLongPressure guards against work that goes on beside a task which
// has been above its target for as long as longOverTime, at whatever pressure.
func TestAllWorkStopsUnderLongPressure(t *testing.T) {
	s := FullShares()
	read(&s, epoch, 1.01, longOverTime+readingInterval, work(FullSpeed, true))
	if s.Disturbing != 0 || s.Other != 0 {
		t.Errorf("the shares are %d and %d, want 0", s.Disturbing, s.Other)
	}
}

// TestSharesRiseInSteps guards against shares that rise at once when the pressure has
// ended, or before a reading shows the last change.
func TestSharesRiseInSteps(t *testing.T) {
	const allowed = 60
	s := FullShares()
	s.Hold(0, epoch)
	now, w := epoch, work(allowed, true)
	for _, want := range []struct{ disturbing, other int }{
		{0, 25}, {0, 50}, {0, 75}, {0, 100}, {25, 100}, {50, 100}, {60, 100}, {60, 100},
	} {
		for range 2 {
			s.Measure(now, 0.5)
			s.Adjust(now, w)
			if s.Disturbing != want.disturbing || s.Other != want.other {
				t.Errorf("the shares are %d and %d after %s, want %d and %d", s.Disturbing, s.Other, now.Sub(epoch), want.disturbing, want.other)
			}
			now = now.Add(shownAfter / 2)
		}
	}
}

// TestDisturbingWorkKeepsToWhatIsAllowed guards against disturbing work above the share
// that predictions allow, also while the shares may not be changed otherwise.
func TestDisturbingWorkKeepsToWhatIsAllowed(t *testing.T) {
	const allowed = 40
	s := FullShares()
	s.Hold(FullSpeed, epoch.Add(time.Hour))
	read(&s, epoch, 0.5, readingInterval, work(allowed, true))
	if s.Disturbing != allowed || s.Other != FullSpeed {
		t.Errorf("the shares are %d and %d, want %d and %d", s.Disturbing, s.Other, allowed, FullSpeed)
	}
}
