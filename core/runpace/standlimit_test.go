package runpace

import (
	"testing"
	"time"
)

const least = 1500 * time.Millisecond

// TestStandLimitFollowsWhatIsKnown checks which knowledge counts before which.
func TestStandLimitFollowsWhatIsKnown(t *testing.T) {
	all := Known{Slowest: time.Second, Usual: 2 * time.Second, Estimated: 3 * time.Second, ImageRatio: 2, ImageKnown: true}
	ofStep, ofImage, ofEstimate, ofNothing := all, all, all, all
	ofStep.Slowest = 0
	ofImage.Slowest, ofImage.Usual = 0, 0
	ofEstimate.Slowest, ofEstimate.Usual, ofEstimate.ImageKnown = 0, 0, false
	ofNothing.Slowest, ofNothing.Usual, ofNothing.Estimated = 0, 0, 0
	short := Known{Slowest: time.Millisecond}
	tests := []struct {
		name      string
		known     Known
		slowness  float64
		doublings int
		want      time.Duration
	}{
		{"its own pace", all, 5, 0, 10 * time.Second},
		{"the pace of its step", ofStep, 5, 0, 100 * time.Second},
		{"the pace of its image", ofImage, 5, 0, 300 * time.Second},
		{"the estimate", ofEstimate, 5, 0, 375 * time.Second},
		{"nothing", ofNothing, 5, 0, least},
		{"its own pace, doubled", all, 1, 3, 80 * time.Second},
		{"nothing, doubled", ofNothing, 1, 2, 4 * least},
		{"shorter than the least", short, 1, 0, least},
		{"doubled without end", all, 1, 200, maxTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			known := test.known
			known.Least, known.Doublings = least, test.doublings
			known.WorkerSlowness = func() float64 { return test.slowness }
			if got := known.StandLimit(); got != test.want {
				t.Errorf("the limit is %s, want %s", got, test.want)
			}
		})
	}
}

// TestDoublingsReachTheLimitOfThePace guards against a stored number of doublings with
// which runs are stopped although they advance at the pace that is known.
func TestDoublingsReachTheLimitOfThePace(t *testing.T) {
	for _, estimated := range []time.Duration{0, time.Millisecond, time.Second} {
		for perPercent := 100 * time.Millisecond; perPercent < time.Hour; perPercent *= 3 {
			known := Known{Least: least, Estimated: estimated, WorkerSlowness: func() float64 { return 1 }}
			known.Doublings = Doublings(perPercent, estimated, least)
			if got := known.StandLimit(); got < observedPercents*perPercent {
				t.Errorf("%s for a percent of %s, estimated as %s", got, perPercent, estimated)
			}
		}
	}
	if got := Doublings(least/observedPercents, 0, least); got != 0 {
		t.Errorf("%d doublings for a pace that the least limit allows, want 0", got)
	}
}

// TestShouldHaveAdvanced checks that an unknown pace says nothing.
func TestShouldHaveAdvanced(t *testing.T) {
	const perPercent = time.Second
	if ShouldHaveAdvanced(0, time.Hour) || ShouldHaveAdvanced(perPercent, 9*perPercent) || !ShouldHaveAdvanced(perPercent, 10*perPercent) {
		t.Error("a run should have advanced after ten times what a percent takes, and only if that is known")
	}
}
