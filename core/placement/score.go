package placement

// Score rates a worker that passed the filters.
type Score interface {
	Name() string
	// Weight returns the score's weight in the sum; weights need not sum to 1.
	Weight() float64
	// Score returns 0 for the worst worker and 1 for the best.
	Score(s *Snapshot, r *Request, w *Worker) float64
}
