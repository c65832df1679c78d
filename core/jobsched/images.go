package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/imageindex"
)

const (
	// maxImages bounds the images that are told apart: the effects between them take
	// memory and time that grow with its square. The users' largest deployment has 46.
	maxImages = 128
	// imageSweepInterval is the shortest time between two searches for images that are
	// gone.
	imageSweepInterval = 10 * time.Second
)

// images numbers the images of the steps. Nothing is learned of steps whose index is
// imageindex.Other.
type images struct {
	imageindex.Index
	sweptAt time.Time
}

// imageOf returns the index of the step's image.
func (m *Machine) imageOf(s *step) int {
	if s.imageKnown {
		return s.image
	}
	index, ok := m.images.Of(s.spec.Image)
	if !ok && m.sweepImages() {
		index, _ = m.images.Of(s.spec.Image)
	}
	s.image, s.imageKnown = index, true
	return index
}

// sweepImages frees the indexes of images that no job has any more, and forgets what was
// learned of them. It reports whether there are any.
func (m *Machine) sweepImages() bool {
	x := &m.images
	if !x.sweptAt.IsZero() && m.now.Sub(x.sweptAt) < imageSweepInterval {
		return false
	}
	x.sweptAt = m.now
	used := m.usedImages()
	gone := x.Free(func(index int) bool { return used[index] })
	for _, image := range gone {
		m.learner.ForgetClass(image)
	}
	// Effects on and of the images that were there are not those of the next ones.
	m.effects.refreshedAt = time.Time{}
	return len(gone) > 0
}

// usedImages returns, by index, which images steps or attempts have.
func (m *Machine) usedImages() []bool {
	used := make([]bool, len(m.images.Names()))
	use := func(s *step) {
		if s != nil && s.imageKnown {
			used[s.image] = true
		}
	}
	for _, j := range m.jobs.All() {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				use(s)
			}
		}
	}
	for _, w := range m.workers.All() {
		for _, a := range w.attempts.All() {
			use(a.step())
		}
	}
	return used
}
