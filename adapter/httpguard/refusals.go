package httpguard

import (
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// logInterval is the shortest time between two log lines about refused clients.
const logInterval = 5 * time.Second

// refusals counts the clients that were refused.
type refusals struct {
	entry   *logrus.Entry
	counter *prometheus.CounterVec

	mu      sync.Mutex
	counts  map[refusal]int
	written time.Time
}

// refusal is where and why a client was refused.
type refusal struct {
	server string
	cause  Cause
}

func newRefusals(log *logrus.Logger, registerer prometheus.Registerer) *refusals {
	r := &refusals{
		entry: log.WithField("component", "clients"), counts: make(map[refusal]int),
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "guavarill", Name: "clients_refused_total", Help: "Connections that were closed and requests that were refused for what clients did, by server and cause.",
		}, []string{"server", "cause"}),
	}
	if registerer != nil {
		registerer.MustRegister(r.counter)
	}
	return r
}

func (r *refusals) count(server string, cause Cause) {
	r.counter.WithLabelValues(server, string(cause)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[refusal{server, cause}]++
}

// log writes a line for each place and cause with new refusals, unless it did so lately.
func (r *refusals) log() {
	for at, count := range r.take() {
		r.entry.WithFields(logrus.Fields{"server": at.server, "cause": at.cause, "count": count}).Warn("clients refused")
	}
}

// take returns the counts that are to be logged now.
func (r *refusals) take() map[refusal]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.counts) == 0 || time.Since(r.written) < logInterval {
		return nil
	}
	r.written = time.Now()
	counts := maps.Clone(r.counts)
	clear(r.counts)
	return counts
}
