package placement

// SeparationScore keeps workers without services for the batch work that would
// harm them: a loud task rates such workers high, a quiet one rates them low.
// Without it quiet tasks, which harm nobody anywhere, fill the workers on
// which loud tasks would harm nobody either.
type SeparationScore struct {
	W float64
	// NoisyEffect is the predicted effect on a service from which a task counts as
	// altogether loud.
	NoisyEffect float64
}

// DefaultSeparationScore is the weighting that the policy measurements use.
func DefaultSeparationScore() SeparationScore { return SeparationScore{W: 2, NoisyEffect: 0.15} }

// Name implements Score.
func (SeparationScore) Name() string { return "separation" }

// Weight implements Score.
func (c SeparationScore) Weight() float64 { return c.W }

// Score implements Score.
func (c SeparationScore) Score(s *Snapshot, r *Request, w *Worker) float64 {
	if r.Service {
		return 1
	}
	loud := min(1, s.loudness(r, w.Load)/c.NoisyEffect)
	for _, g := range w.residents {
		if g.service {
			return 1 - loud
		}
	}
	return loud
}

// loudness returns the largest predicted effect of a task on any class of
// service.
func (s *Snapshot) loudness(r *Request, load float64) float64 {
	own := s.effects.profile(r.Class, r.Workload, r.Service)
	worst := 0.0
	for _, class := range s.services {
		worst = max(worst, s.effects.effect(class, own, load))
	}
	return worst
}
