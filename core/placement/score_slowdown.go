package placement

// SlowdownScore prefers workers on which the task is predicted to slow the
// residents least and to be slowed least by them.
//
// The harm to a victim grows with the square of its predicted slowdown, because
// callers notice the tail of the latency: one service next to two noisy
// neighbours has a worse 99th percentile than two services next to one each.
type SlowdownScore struct {
	// W is the weight of the score.
	W float64
	// ServiceWeight and BatchWeight are the weights of harm to services and to
	// batch tasks, including the placed task itself.
	ServiceWeight, BatchWeight float64
}

// DefaultSlowdownScore returns the weights that the policy benchmarks in
// package eviction use.
func DefaultSlowdownScore() SlowdownScore {
	return SlowdownScore{W: 4, ServiceWeight: 1, BatchWeight: 0.1}
}

// Name implements Score.
func (SlowdownScore) Name() string { return "slowdown" }

// Weight implements Score.
func (c SlowdownScore) Weight() float64 { return c.W }

// Score implements Score.
func (c SlowdownScore) Score(s *Snapshot, r *Request, w *Worker) float64 {
	class := s.predictions.class(r.Class)
	own := s.predictions.profile(r.Class, r.Workload, r.Service)
	load := w.Load
	harm := 0.0
	suffered := 0.0
	for _, victim := range w.residents {
		suffered += s.predictions.effect(class, victim.profile, load) * float64(victim.count)
		added := s.predictions.effect(victim.class, own, load)
		if added == 0 {
			continue
		}
		before := currentSlowdown(s, w, victim, load)
		harm += c.weight(victim.service) * float64(victim.count) * added * (added + 2*before)
	}
	harm += c.weight(r.Service) * suffered * suffered
	return 1 / (1 + harmScale*harm)
}

// harmScale sets the harm at which the score is one half: a squared slowdown of
// 0.1, which is about a third more run time for one service.
const harmScale = 10

func (c SlowdownScore) weight(service bool) float64 {
	if service {
		return c.ServiceWeight
	}
	return c.BatchWeight
}

// currentSlowdown returns the predicted slowdown of a resident by the other
// residents of its worker.
func currentSlowdown(s *Snapshot, w *Worker, victim group, load float64) float64 {
	sum := 0.0
	for _, other := range w.residents {
		count := other.count
		if other.profile == victim.profile && other.service == victim.service {
			count--
		}
		sum += s.predictions.effect(victim.class, other.profile, load) * float64(count)
	}
	return sum
}
