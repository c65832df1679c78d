package traffic

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/retry"
)

const metricsNamespace = "guavarill"

// reasonNone is the reason label of answered requests.
const reasonNone = fate.Reason("none")

// latencyBuckets ranges, in seconds, from responses over loopback to the
// longest timeout.
var latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 18)

// metrics holds the engine's metrics, which are all labeled by service.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	inFlight *prometheus.GaugeVec
	queued   *prometheus.GaugeVec
	attempts *prometheus.CounterVec
	retries  *prometheus.CounterVec
	claims   *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: counter("requests_total", "Requests by fate and reason.", "service", "fate", "reason"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Name:      "request_seconds",
			Help:      "Time from a request's arrival to its answer or error.",
			Buckets:   latencyBuckets,
		}, []string{"service", "fate"}),
		inFlight: gauge("requests_in_flight", "Requests being handled, waiting ones included."),
		queued:   gauge("requests_queued", "Requests that wait for a slot."),
		attempts: counter("exchanges_total", "Exchanges begun with targets.", "service"),
		retries:  counter("retry_decisions_total", "Failed exchanges by what was decided.", "service", "verdict"),
		claims:   counter("claims_total", "Claims of request ids by outcome.", "service", "outcome"),
	}
	if r != nil {
		r.MustRegister(m.requests, m.latency, m.inFlight, m.queued, m.attempts, m.retries, m.claims)
	}
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricsNamespace,
		Name:      name,
		Help:      help,
	}, labels)
}

func gauge(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: metricsNamespace,
		Name:      name,
		Help:      help,
	}, []string{"service"})
}

// serviceMetrics holds the metrics of one service, whose series are looked up
// once.
type serviceMetrics struct {
	all      *metrics
	service  string
	answered prometheus.Counter
	latency  [3]prometheus.Observer
	inFlight prometheus.Gauge
	queued   prometheus.Gauge
	attempts prometheus.Counter
}

func (m *metrics) of(service string) *serviceMetrics {
	s := &serviceMetrics{
		all:      m,
		service:  service,
		answered: m.requests.WithLabelValues(service, fate.Answered.String(), string(reasonNone)),
		inFlight: m.inFlight.WithLabelValues(service),
		queued:   m.queued.WithLabelValues(service),
		attempts: m.attempts.WithLabelValues(service),
	}
	for _, f := range []fate.Fate{fate.Unknown, fate.NotRun, fate.Answered} {
		s.latency[f] = m.latency.WithLabelValues(service, f.String())
	}
	return s
}

func (s *serviceMetrics) observeFinished(err *fate.Error, seconds float64) {
	if err == nil {
		s.answered.Inc()
		s.latency[fate.Answered].Observe(seconds)
		return
	}
	s.all.requests.WithLabelValues(s.service, err.Fate.String(), string(err.Reason)).Inc()
	s.latency[err.Fate].Observe(seconds)
}

func (s *serviceMetrics) countRetryDecision(v retry.Verdict) {
	s.all.retries.WithLabelValues(s.service, v.String()).Inc()
}

func (s *serviceMetrics) countClaim(o dedup.Outcome) {
	s.all.claims.WithLabelValues(s.service, o.String()).Inc()
}

// deleteService deletes the series of a service that is no longer declared, so
// that the number of series stays proportional to the number of services.
func (m *metrics) deleteService(service string) {
	label := prometheus.Labels{"service": service}
	m.requests.DeletePartialMatch(label)
	m.latency.DeletePartialMatch(label)
	m.inFlight.DeletePartialMatch(label)
	m.queued.DeletePartialMatch(label)
	m.attempts.DeletePartialMatch(label)
	m.retries.DeletePartialMatch(label)
	m.claims.DeletePartialMatch(label)
}
