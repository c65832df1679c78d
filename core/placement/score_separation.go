package placement

// SeparationScore keeps workers without services free for noisy batch tasks,
// which would slow services down: a noisy task prefers such workers and a quiet
// one avoids them. Otherwise quiet tasks, which are harmless on any worker,
// fill the only workers on which noisy tasks are harmless.
type SeparationScore struct {
	// W is the weight of the score.
	W float64
	// NoisyEffect is the predicted slowdown of a service from which on a task
	// counts as fully noisy.
	NoisyEffect float64
}

// DefaultSeparationScore returns the weights that the policy benchmarks in
// package eviction use.
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
	noisiness := min(1, s.maxServiceEffect(r, w.Load)/c.NoisyEffect)
	for _, g := range w.residents {
		if g.service {
			return 1 - noisiness
		}
	}
	return noisiness
}

// maxServiceEffect returns the largest predicted effect of a task on any of the
// service classes in the snapshot.
func (s *Snapshot) maxServiceEffect(r *Request, load float64) float64 {
	own := s.predictions.profile(r.Class, r.Workload, r.Service)
	worst := 0.0
	for _, class := range s.services {
		worst = max(worst, s.predictions.effect(class, own, load))
	}
	return worst
}
