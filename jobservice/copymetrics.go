package jobservice

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/core/jobsched"
)

// copyMetrics shows the copies of slow tasks, as counted by the leader.
type copyMetrics struct {
	copies          *prometheus.GaugeVec
	lostCoreSeconds prometheus.Gauge
}

func newCopyMetrics(r prometheus.Registerer) copyMetrics {
	m := copyMetrics{
		copies: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "copies", Help: "Copies of slow tasks at the leader: those that run, and since it took over those started, done first and of no use.",
		}, []string{"kind"}),
		lostCoreSeconds: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "copies_lost_core_seconds", Help: "Work since the leader took over of attempts that were of no use, because the other attempt of their task was done first or they were copies that failed.",
		}),
	}
	r.MustRegister(m.copies, m.lostCoreSeconds)
	return m
}

// set updates the metrics; a daemon that does not lead has no copies.
func (m *copyMetrics) set(c jobsched.CopyCounts) {
	for kind, n := range map[string]int{"running": c.Running, "started": c.Started, "done first": c.Won, "of no use": c.Lost} {
		m.copies.WithLabelValues(kind).Set(float64(n))
	}
	m.lostCoreSeconds.Set(c.LostCoreSeconds)
}
