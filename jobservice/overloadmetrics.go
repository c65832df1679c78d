package jobservice

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/core/jobforecast"
)

// overloadMetrics describes the decisions on submitted jobs by forecast.
type overloadMetrics struct {
	rejected    *prometheus.CounterVec
	forecastAge prometheus.Histogram
}

func newOverloadMetrics(r prometheus.Registerer) overloadMetrics {
	m := overloadMetrics{
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "jobs_rejected_total", Help: "Submitted jobs that were rejected by forecast or for want of memory, by queue and reason.",
		}, []string{"queue", "reason"}),
		forecastAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "forecast_age_seconds", Help: "Age of the forecast by which a submitted job was decided on, while there is one.",
			Buckets: latencyBuckets,
		}),
	}
	r.MustRegister(m.rejected, m.forecastAge)
	return m
}

// observe counts a decision on a submitted job.
func (m *overloadMetrics) observe(queue string, d jobforecast.Decision) {
	if d.Reason != jobforecast.ReasonNoForecast {
		m.forecastAge.Observe(d.Age.Seconds())
	}
	if d.Reject {
		m.countRejected(queue, d.Reason)
	}
}

// countRejected counts a rejected job.
func (m *overloadMetrics) countRejected(queue string, reason jobforecast.Reason) {
	m.rejected.WithLabelValues(queue, string(reason)).Inc()
}
