package jobsched

// longRunningRoom returns how much processor capacity, in thousandths of a core, new
// long-running tasks of a service may still be committed. Where room is shared, what is
// kept for short work is left out.
func (m *Machine) longRunningRoom(service string) int64 {
	room := int64(0)
	for _, w := range m.workers.All() {
		if w.entry.Service == service && w.isUsable(m.now) && !m.isCordoned(w) {
			room += max(w.room().MilliCPU, 0)
		}
	}
	return max(room-m.keptForShort(service), 0)
}

// keptForShort returns the processors, in thousandths of a core, that are kept free for
// short work of a service, beside those that it uses.
func (m *Machine) keptForShort(service string) int64 {
	kept := int64(0)
	for _, c := range m.shares.ordered {
		if c.queue.Service != service || c.key.longRunning || c.entitlement.Wanted == 0 {
			continue
		}
		entitled := float64(c.reserve.Room().MilliCPU) * c.entitlement.Share / c.entitlement.Wanted
		kept += max(int64(entitled)-c.used.MilliCPU, 0)
	}
	return kept
}
