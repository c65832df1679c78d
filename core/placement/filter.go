package placement

// Filter says whether a worker may take a task at all.
type Filter interface {
	Name() string
	Admit(s *Snapshot, r *Request, w *Worker) bool
}

// SoftFilter is a filter that is given up when no worker passes it. Soft
// filters are given up in the order in which the placer has them.
type SoftFilter interface {
	Filter
	Soft()
}
