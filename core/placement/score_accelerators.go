package placement

// AcceleratorScore keeps workers with free accelerators for the tasks that
// need them, and prefers the fewest left over for those that do.
type AcceleratorScore struct {
	W float64
}

// Name implements Score.
func (AcceleratorScore) Name() string { return "accelerators" }

// Weight implements Score.
func (c AcceleratorScore) Weight() float64 { return c.W }

// Score implements Score.
func (AcceleratorScore) Score(_ *Snapshot, r *Request, w *Worker) float64 {
	left := w.Free.Accelerators - r.Size.Accelerators
	if left <= 0 {
		return 1
	}
	return 1 / (1 + float64(left))
}
