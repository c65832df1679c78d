package placement

// PackingScore prefers workers that the task fills well. Best fit leaves large
// blocks of free resources for large tasks.
type PackingScore struct {
	// W is the weight of the score.
	W float64
}

// Name implements Score.
func (PackingScore) Name() string { return "packing" }

// Weight implements Score.
func (c PackingScore) Weight() float64 { return c.W }

// Score implements Score.
func (PackingScore) Score(_ *Snapshot, r *Request, w *Worker) float64 {
	cpu := utilization(w.Committed.MilliCPU+r.Size.MilliCPU, w.VM.Capacity.MilliCPU)
	memory := utilization(w.Committed.MemoryMB+r.Size.MemoryMB, w.VM.Capacity.MemoryMB)
	// Free memory without free processors, or the reverse, cannot be used, so
	// an imbalance lowers the score.
	return (cpu+memory)/2 - absolute(cpu-memory)/4
}

func utilization(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return min(1, float64(used)/float64(capacity))
}

func absolute(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}
