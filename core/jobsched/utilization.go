package jobsched

const (
	// usableUtilizationLimit is the fraction of committed processors of the usable
	// workers below which utilization is low. Above it, workers without serving
	// tasks that best-effort work disturbs become free over time.
	usableUtilizationLimit = 0.6
	// listedUtilizationLimit is the same of all listed workers: below half, a job must
	// not be without a running task for three seconds.
	listedUtilizationLimit = 0.5
)

// measureUtilization finds the services with low utilization: that of all listed
// workers, or of those alone that may be given tasks now.
func (m *Machine) measureUtilization() {
	listed, usable := make(utilization), make(utilization)
	for _, w := range m.workers.All() {
		if !w.listed || w.ended {
			continue
		}
		listed.add(w)
		if w.isUsable(m.now) && !m.isCordoned(w) {
			usable.add(w)
		}
	}
	m.lowUtilization = make(map[string]bool, len(listed))
	for service := range listed {
		m.lowUtilization[service] = listed.isBelow(service, listedUtilizationLimit) || usable.isBelow(service, usableUtilizationLimit)
	}
}

// utilization sums what is committed on workers, and their capacity, by service.
type utilization map[string]utilizationSums

// utilizationSums are sums over the workers of a service, in thousandths of a core.
type utilizationSums struct{ committed, capacity int64 }

func (u utilization) add(w *worker) {
	sums := u[w.entry.Service]
	sums.committed += w.committed.MilliCPU
	sums.capacity += w.entry.Capacity.MilliCPU
	u[w.entry.Service] = sums
}

// isBelow reports whether less than a fraction of the service's processors is committed.
// It returns false for a service without workers.
func (u utilization) isBelow(service string, limit float64) bool {
	sums := u[service]
	return float64(sums.committed) < limit*float64(sums.capacity)
}
