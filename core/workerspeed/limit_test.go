package workerspeed

import (
	"math"
	"testing"
	"time"
)

// TestLimit: a short task with little time left waits for a normal worker; a slow one is
// used where it is in time, or as good as waiting.
func TestLimit(t *testing.T) {
	const wait = 1500 * time.Millisecond
	tests := []struct {
		name        string
		takes, left time.Duration
		six, two    bool
	}{
		{"a short task with half as long again", 2 * time.Second, 3 * time.Second, false, false},
		{"one that is late already", 2 * time.Second, -time.Second, false, false},
		{"one with four times as long", 2 * time.Second, 8 * time.Second, false, true},
		{"one with seven times as long", 2 * time.Second, 16 * time.Second, true, true},
		{"a very short task", 100 * time.Millisecond, 0, true, true},
	}
	for _, test := range tests {
		limit := Limit(test.takes, test.left, wait)
		if six, two := limit >= 6, limit >= 2; six != test.six || two != test.two {
			t.Errorf("%s: limit %.2f; used at slowness 6: %v, at 2: %v", test.name, limit, six, two)
		}
	}
}

// TestLimitsAreFew guards against a limit for each task, none of which shares what is
// found out about workers without room.
func TestLimitsAreFew(t *testing.T) {
	limits := make(map[float64]bool)
	for left := range 1000 {
		limits[Limit(time.Second, time.Duration(left)*20*time.Millisecond, 0)] = true
	}
	if len(limits) > 10 || !limits[math.Inf(1)] || !limits[1] {
		t.Errorf("%d limits, want at most 10 from 1 to infinite", len(limits))
	}
}
