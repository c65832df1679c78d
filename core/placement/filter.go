package placement

// Filter decides whether a worker may take a task.
type Filter interface {
	// Name returns the name under which rejections are counted.
	Name() string
	// Admit reports whether the worker may take the task.
	Admit(s *Snapshot, r *Request, w *Worker) bool
}

// SoftFilter is a filter that is ignored when no worker passes all filters.
// Soft filters are dropped one after the other, in the order in which the
// placer holds them.
type SoftFilter interface {
	Filter
	Soft()
}
