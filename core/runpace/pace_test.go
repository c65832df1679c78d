package runpace

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// TestMeanTimeOfAPercent checks the mean of several advances, and that of none.
func TestMeanTimeOfAPercent(t *testing.T) {
	var s Sum
	if got := s.PerPercent(); got != 0 {
		t.Errorf("without an advance a percent takes %s, want 0", got)
	}
	s.Add(1, 4*time.Second)
	s.Add(3, 2*time.Second)
	if got := s.PerPercent(); got != 1500*time.Millisecond {
		t.Errorf("a percent takes %s, want 1.5s", got)
	}
}

// TestImagesAreBoundedAndAveraged guards against images, whose names callers choose, that
// grow without bound.
func TestImagesAreBoundedAndAveraged(t *testing.T) {
	images := make(Images)
	for i := range MaxImages + 1 {
		images.Observe(&job.Step{Image: fmt.Sprint("image-", i), EstimateMs: 1000}, 20*time.Millisecond)
	}
	if len(images) != MaxImages {
		t.Errorf("%d images are kept, want %d", len(images), MaxImages)
	}
	images.Observe(&job.Step{Image: "image-0", EstimateMs: 1000}, 30*time.Millisecond)
	if got := images["image-0"]; got != 2.1 {
		t.Errorf("the ratio is %v after 2 and 3, want 2.1", got)
	}
}

// TestRunsWithoutImageOrEstimateAreNotObserved guards against ratios that tell nothing.
func TestRunsWithoutImageOrEstimateAreNotObserved(t *testing.T) {
	images := make(Images)
	images.Observe(&job.Step{EstimateMs: 1000}, time.Second)
	images.Observe(&job.Step{Image: "image"}, time.Second)
	if len(images) > 0 {
		t.Errorf("observed %v", images)
	}
}
