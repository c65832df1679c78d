package jobsched

// longRunningRoom returns how much processor capacity, in thousandths of a core, new
// long-running tasks of a service may still be committed.
func (m *Machine) longRunningRoom(service string) int64 {
	room := int64(0)
	for _, w := range m.workers.All() {
		if w.entry.Service == service && w.isUsable(m.now) && !m.isCordoned(w) {
			room += max(w.room().MilliCPU, 0)
		}
	}
	return room
}
