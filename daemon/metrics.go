package daemon

import "github.com/prometheus/client_golang/prometheus"

// metrics are the control loop's counters. What is counted here and logged
// nowhere is most of what the daemon does.
type metrics struct {
	events           *prometheus.CounterVec
	commits          prometheus.Counter
	commitBytes      prometheus.Counter
	changes          prometheus.Counter
	dropped          *prometheus.CounterVec
	cycles           prometheus.Counter
	rejected         prometheus.Counter
	workerCalls      prometheus.Counter
	actions          *prometheus.CounterVec
	vmListFailures   prometheus.Counter
	configMismatches prometheus.Counter
	revision         prometheus.Gauge
	shards           prometheus.Gauge
	members          prometheus.Gauge
	loopSeconds      prometheus.Counter
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "guavarill", Name: name, Help: help})
}

func counterVec(name, help, label string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: "guavarill", Name: name, Help: help}
	return prometheus.NewCounterVec(opts, []string{label})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "guavarill", Name: name, Help: help})
}

func newMetrics() *metrics {
	return &metrics{
		events:           counterVec("timeline_events_total", "Events of the time line, by kind.", "kind"),
		commits:          counter("ledger_commits_total", "Group commits sent to the store."),
		commitBytes:      counter("ledger_commit_bytes_total", "Bytes of group commits sent to the store."),
		changes:          counter("ledger_changes_total", "Changes committed to ledgers."),
		dropped:          counterVec("ledger_dropped_total", "Proposed changes that were not committed, by reason.", "reason"),
		cycles:           counter("scheduler_cycles_total", "Scheduling cycles."),
		rejected:         counter("scheduler_rejected_total", "Planned changes that no longer fitted."),
		workerCalls:      counter("worker_calls_total", "Calls of workers' agents."),
		actions:          counterVec("policy_actions_total", "Throttles, evictions and unthrottles.", "action"),
		vmListFailures:   counter("vm_list_failures_total", "Reads of the platform's list that failed or were empty."),
		configMismatches: counter("config_mismatches_total", "Changes of configuration from peers whose hash did not match."),
		revision:         gauge("config_revision", "Revision of the configuration in force here."),
		shards:           gauge("shards_owned", "Shards that this daemon owns."),
		members:          gauge("members_alive", "Daemons believed alive, this one included."),
		loopSeconds:      counter("control_seconds_total", "Time that the control loop spent working."),
	}
}

func (m *metrics) register(r prometheus.Registerer) error {
	collectors := []prometheus.Collector{
		m.events, m.commits, m.commitBytes, m.changes, m.dropped, m.cycles, m.rejected,
		m.workerCalls, m.actions, m.vmListFailures, m.configMismatches, m.revision,
		m.shards, m.members, m.loopSeconds,
	}
	for _, collector := range collectors {
		if err := r.Register(collector); err != nil {
			return err
		}
	}
	return nil
}
