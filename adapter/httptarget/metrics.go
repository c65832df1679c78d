package httptarget

import "github.com/prometheus/client_golang/prometheus"

const (
	resultDone   = "done"
	resultFailed = "failed"
)

type metrics struct {
	connects *prometheus.CounterVec
	stale    prometheus.Counter
	probes   *prometheus.CounterVec
	silences prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		connects: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "guavarill", Subsystem: "target", Name: "connects_total",
			Help: "Connections to targets, by whether they were made.",
		}, []string{"result"}),
		stale: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "guavarill", Subsystem: "target", Name: "stale_connections_total",
			Help: "Pooled connections found closed before a request was written.",
		}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "guavarill", Subsystem: "target", Name: "probes_total",
			Help: "Silent targets asked over a new connection, by whether they answered.",
		}, []string{"result"}),
		silences: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "guavarill", Subsystem: "target", Name: "silent_connections_total",
			Help: "Exchanges that were silent while the target answered over a new connection.",
		}),
	}
	if r != nil {
		r.MustRegister(m.connects, m.stale, m.probes, m.silences)
	}
	return m
}
