package etcdstore

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/port"
)

const metricsNamespace = "guavarill"
const metricsSubsystem = "store"

// kindOK is the value of the kind label for a successful call.
const kindOK = "ok"

// metrics holds the Prometheus metrics of calls, connections and watches.
type metrics struct {
	calls             *prometheus.CounterVec
	connections       prometheus.Counter
	silentConnections prometheus.Counter
	watches           prometheus.Gauge
	brokenWatches     prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "calls_total",
			Help: "Calls to the store by method, by what is known of the change, and by kind of failure.",
		}, []string{"call", "outcome", "kind"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "connections_total",
			Help: "Connections made to the store.",
		}),
		silentConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "silent_connections_total",
			Help: "Connections closed because calls timed out on them while another one worked.",
		}),
		watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "watches",
			Help: "Watches open now.",
		}),
		brokenWatches: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "broken_watches_total",
			Help: "Watches that ended without being asked to.",
		}),
	}
}

func (m *metrics) register(r prometheus.Registerer) error {
	if r == nil {
		return nil
	}
	for _, c := range []prometheus.Collector{m.calls, m.connections, m.silentConnections, m.watches, m.brokenWatches} {
		if err := r.Register(c); err != nil {
			return &OptionError{Option: "Registerer", Reason: err.Error()}
		}
	}
	return nil
}

func (m *metrics) count(call string, err error) {
	outcome, kind := port.OutcomeDone, kindOK
	var failure *port.StoreError
	if errors.As(err, &failure) {
		outcome, kind = failure.Outcome, string(failure.Kind)
	}
	m.calls.WithLabelValues(call, outcome.String(), kind).Inc()
}
