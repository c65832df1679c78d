package interference

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// TestImportKeepsPredictions checks that a model that imports the effects of another
// one predicts the same means with standard deviations that are not smaller.
func TestImportKeepsPredictions(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	m := New(DefaultOptions())
	victim, noisy := model.TaskKey{Workload: "v"}, model.TaskKey{Workload: "noisy"}
	m.TaskStarted(now, "w", victim, "v")
	m.TaskStarted(now, "w", noisy, "noisy")
	for i := range 20 {
		at := now.Add(time.Duration(i+1) * time.Second)
		m.Observe(at, Observation{Worker: "w", Victim: victim, Class: "v", MeasuredAt: at, Slowdown: 2})
	}
	other := New(DefaultOptions())
	other.Import(now, m.Export())
	learned, imported := m.Predict("v", "noisy", 0.9), other.Predict("v", "noisy", 0.9)
	if d := learned.Mean - imported.Mean; d > 0.01 || d < -0.01 {
		t.Errorf("mean %.3f became %.3f", learned.Mean, imported.Mean)
	}
	if imported.Std < learned.Std {
		t.Errorf("standard deviation %.3f became %.3f", learned.Std, imported.Std)
	}
	if stranger := other.Predict("v", "never seen", 0); stranger.Mean != DefaultOptions().PriorMean {
		t.Errorf("an unknown aggressor has the mean %.3f, not that of the prior", stranger.Mean)
	}
}
