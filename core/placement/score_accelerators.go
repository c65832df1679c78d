package placement

// AcceleratorScore prefers workers on which the task leaves the fewest free
// accelerators. Tasks without accelerators thus stay away from workers that
// have some.
type AcceleratorScore struct {
	// W is the weight of the score.
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
