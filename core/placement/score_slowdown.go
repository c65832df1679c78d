package placement

// SlowdownScore prefers workers where the task is predicted to slow residents
// least and to be slowed least.
//
// Harm to a victim grows with the square of its predicted slowdown: the tail
// is what callers feel, and a service that two noisy neighbours share suffers
// more at its 99th percentile than two that have one each.
type SlowdownScore struct {
	W float64
	// ServiceWeight and BatchWeight say how much harm to a resident service,
	// and to batch or a batch task itself, counts.
	ServiceWeight, BatchWeight float64
}

// DefaultSlowdownScore is the weighting that the policy measurements use.
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
		before := presentSlowdown(s, w, victim, load)
		harm += c.weight(victim.service) * float64(victim.count) * added * (added + 2*before)
	}
	harm += c.weight(r.Service) * suffered * suffered
	return 1 / (1 + harmScale*harm)
}

// harmScale sets where the score halves: a squared excess of 0.1, about a
// third more run time for one service.
const harmScale = 10

func (c SlowdownScore) weight(service bool) float64 {
	if service {
		return c.ServiceWeight
	}
	return c.BatchWeight
}

// presentSlowdown returns what the residents are predicted to add to a victim
// among them.
func presentSlowdown(s *Snapshot, w *Worker, victim group, load float64) float64 {
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
