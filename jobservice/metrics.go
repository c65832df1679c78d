package jobservice

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/workerentry"
)

// Metrics holds the metrics of one daemon.
type Metrics struct {
	requests    *prometheus.CounterVec
	requestTime *prometheus.HistogramVec
	orders      *prometheus.CounterVec
	orderTime   *prometheus.HistogramVec
	decisions   *prometheus.CounterVec
	commitTime  prometheus.Histogram
	terms       *prometheus.CounterVec
	// refusedCommits counts the commits that the store refused for good.
	refusedCommits prometheus.Counter
	leading        prometheus.Gauge
	jobs           prometheus.Gauge
	jobMemory      prometheus.Gauge
	attempts       prometheus.Gauge
	// unansweredWorkers is how many workers have not answered the new leader and
	// therefore hold starts back.
	unansweredWorkers prometheus.Gauge
	// slowWorkers counts the workers that are known to be slow.
	slowWorkers prometheus.Gauge
	// trialsRunning and trialsWaiting count the tasks that may have crashed workers:
	// those whose trial runs, and those that wait for it.
	trialsRunning prometheus.Gauge
	trialsWaiting prometheus.Gauge
	// longestWait is the longest present wait of a step for a worker, by the reason.
	longestWait *prometheus.GaugeVec
	copies      copyMetrics
	storeLost   prometheus.Counter
	// roomShare describes the division of room between queues.
	roomShare *prometheus.GaugeVec
	// cordonedZones is how many zones the leader starts nothing in.
	cordonedZones prometheus.Gauge
	// stepTime and eventsWaiting describe the control goroutine, lag is the time from
	// when a caller's request was stored to the decision that follows from it.
	stepTime      prometheus.Histogram
	eventsWaiting prometheus.Gauge
	// partTime is the control goroutine's time by part of its work, eventWait how long
	// events wait for it.
	partTime  *prometheus.CounterVec
	eventWait prometheus.Histogram
	lag       *prometheus.HistogramVec
	// unreadable is shared by all parts of the daemon that read records.
	unreadable *unreadableRecords
	// entriesUnusable and entryChanges describe the platform's list of workers.
	entriesUnusable *prometheus.GaugeVec
	entryChanges    *prometheus.CounterVec
	// configVersion, configAge, configFailures and configWastedBytes describe the
	// configuration in force and its reads.
	configVersion     prometheus.Gauge
	configAge         atomic.Pointer[func() time.Duration]
	configFailures    *prometheus.CounterVec
	configWastedBytes prometheus.Counter
	overload          overloadMetrics
}

const namespace = "guavarill"

// latencyBuckets range from a call within an availability zone to a request's
// deadline, in seconds.
var latencyBuckets = []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}

// NewMetrics creates and registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
		}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	m := &Metrics{
		requests:    counter("job_requests_total", "Callers' requests by operation and status.", "operation", "status"),
		requestTime: histogram("job_request_seconds", "Time to answer callers' requests.", "operation"),
		orders:      counter("worker_orders_total", "Orders to workers by kind and verdict.", "kind", "verdict"),
		orderTime:   histogram("worker_order_seconds", "Time to the answer of orders; renewals wait on purpose and are not in it.", "kind"),
		decisions:   counter("decisions_total", "The leader's decisions by kind.", "decision"),
		commitTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "commit_seconds", Help: "Time to store a commit, all tries together.",
			Buckets: latencyBuckets,
		}),
		terms:             counter("leader_terms_total", "Terms as leader that ended, by the way they did.", "end"),
		leading:           gauge("leading", "1 while the daemon leads."),
		jobs:              gauge("jobs", "Jobs that are not over, at the leader."),
		jobMemory:         gauge("job_memory_bytes", "What jobs take of the leader's memory for them."),
		attempts:          gauge("attempts", "Attempts that may run, at the leader."),
		unansweredWorkers: gauge("workers_unheard", "Workers that hold starts back, because they have not answered the new leader."),
		trialsRunning:     gauge("trials_running", "Attempts on trial at the leader: workers crashed under their tasks, which have not run for longer since."),
		slowWorkers:       gauge("slow_workers", "Workers at the leader on which tasks are known to take longer than elsewhere."),
		trialsWaiting:     gauge("trials_waiting", "Tasks at the leader that wait to be tried, because other trials run."),
		stepTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "leader_step_seconds", Help: "Time of a step of the leader's control goroutine.",
			Buckets: latencyBuckets,
		}),
		partTime: counter("leader_seconds_total", "Time of the leader's control goroutine by part of its work.", "part"),
		eventWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "leader_event_wait_seconds", Help: "Time that events waited for the leader's control goroutine.",
			Buckets: latencyBuckets,
		}),
		eventsWaiting: gauge("leader_events_waiting", "Events that waited when the leader's last step began."),
		lag:           histogram("decision_lag_seconds", "Time from a job's, or its cancel's, being stored, or from a take-over, to the leader's decision.", "decision"),
		entriesUnusable: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "worker_entries_unusable", Help: "Entries that name no worker to use, at the leader, by reason.",
		}, []string{"reason"}),
		entryChanges: counter("worker_entry_turns_total", "Workers' entries that turned unusable, and that are good again or gone.", "turn"),
		storeLost: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_lost_total", Help: "Times that callers' requests lost the store.",
		}),
	}
	m.longestWait = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "longest_wait_seconds", Help: "Longest present wait of a step for a worker at the leader, by what rules out the most workers.",
	}, []string{"reason"})
	m.roomShare = newRoomShareGauge()
	m.refusedCommits = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "commits_refused_total",
		Help: "Commits that the store refused for good. The entry at fault is set aside.",
	})
	m.cordonedZones = gauge("cordoned_zones", "Availability zones in which nothing is started, at the leader.")
	m.configVersion = gauge("configuration_version", "Version of the configuration in force, 0 before the first.")
	m.configFailures = counter("configuration_read_failures_total", "Reads of the configuration that failed, by whether a part of the answer had come.", "part")
	m.configWastedBytes = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "configuration_wasted_bytes_total",
		Help: "Bytes of answers with the configuration that broke off.",
	})
	configAge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "configuration_age_seconds",
		Help: "Time since the configuration in force was certainly the newest; since the start before the first.",
	}, func() float64 {
		if age := m.configAge.Load(); age != nil {
			return (*age)().Seconds()
		}
		return 0
	})
	m.unreadable = newUnreadableRecords(counter("unreadable_records_total", "Changes of stored records that left them unreadable, by kind.", "kind"))
	r.MustRegister(m.refusedCommits, m.requests, m.requestTime, m.orders, m.orderTime, m.decisions, m.commitTime, m.terms,
		m.leading, m.jobs, m.jobMemory, m.attempts, m.unansweredWorkers, m.trialsRunning, m.trialsWaiting, m.slowWorkers, m.longestWait, m.roomShare, m.storeLost, m.cordonedZones, m.stepTime, m.eventsWaiting, m.partTime, m.eventWait, m.lag, m.unreadable.count,
		m.entriesUnusable, m.entryChanges, m.configVersion, m.configFailures, m.configWastedBytes, configAge)
	m.overload = newOverloadMetrics(r)
	m.copies = newCopyMetrics(r)
	m.setEntries(workerentry.Counts{})
	return m
}

// ObserveRequest counts a caller's request and its duration.
func (m *Metrics) ObserveRequest(operation, status string, took time.Duration) {
	m.requests.WithLabelValues(operation, status).Inc()
	m.requestTime.WithLabelValues(operation).Observe(took.Seconds())
}

// setConfigAgeSource sets the function that returns the age of the configuration.
func (m *Metrics) setConfigAgeSource(age func() time.Duration) { m.configAge.Store(&age) }

// configReadFailed counts a failed read of the configuration, and the bytes that it
// had received.
func (m *Metrics) configReadFailed(bytes int) {
	part := "none"
	if bytes > 0 {
		part = "some"
	}
	m.configFailures.WithLabelValues(part).Inc()
	m.configWastedBytes.Add(float64(bytes))
}

// setLongestWaits updates the longest waits of steps from those that the leader tells.
func (m *Metrics) setLongestWaits(waits map[jobsched.WaitReason]time.Duration) {
	for _, reason := range jobsched.WaitReasons() {
		m.longestWait.WithLabelValues(string(reason)).Set(waits[reason].Seconds())
	}
}
