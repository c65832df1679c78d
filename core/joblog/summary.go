package joblog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// JobSummary summarizes the lines about a job.
type JobSummary struct {
	Job     job.ID `json:"job"`
	Queue   string `json:"queue,omitempty"`
	Outcome string `json:"outcome"`
	// AcceptedAt, StartedAt and EndedAt are the times of acceptance, of the first
	// attempt and of the final state. Each is zero if no line reports it.
	AcceptedAt time.Time `json:"acceptedAt,omitzero"`
	StartedAt  time.Time `json:"startedAt,omitzero"`
	EndedAt    time.Time `json:"endedAt,omitzero"`
	// Attempts is the number of attempts that were started.
	Attempts int `json:"attempts"`
}

// SummarizeJobs summarizes every job that the lines name, in the order of their
// ids.
func SummarizeJobs(lines []Line) []JobSummary {
	byJob := make(map[job.ID][]Line)
	for _, l := range lines {
		if l.Job != "" {
			byJob[l.Job] = append(byJob[l.Job], l)
		}
	}
	jobs := []JobSummary{}
	for _, id := range slices.Sorted(maps.Keys(byJob)) {
		jobs = append(jobs, summarize(id, byJob[id]))
	}
	return jobs
}

func summarize(id job.ID, about []Line) JobSummary {
	e := &explainer{about: about}
	e.outcome()
	s := JobSummary{Job: id, Outcome: e.Outcome, Attempts: len(e.withMessage(MessageAttemptStarted))}
	if l := e.first(MessageJobAccepted); l != nil {
		s.Queue, s.AcceptedAt = l.Queue, l.Time
	}
	if l := e.first(MessageAttemptStarted); l != nil {
		s.StartedAt = l.Time
	}
	if l := e.finalLine(); l != nil {
		s.EndedAt = l.Time
	}
	return s
}

// DaemonSummary summarizes the lines of a daemon.
type DaemonSummary struct {
	Daemon string `json:"daemon"`
	// IsLeader is whether the daemon was the leader at its last line, and Epoch
	// its last epoch as leader.
	IsLeader bool  `json:"leads"`
	Epoch    int64 `json:"epoch,omitempty"`
	// StoreLost is whether the daemon was without the store at its last line.
	StoreLost bool      `json:"storeLost"`
	LastLine  time.Time `json:"lastLine"`
	Warnings  int       `json:"warnings"`
}

// SummarizeDaemons summarizes every daemon that wrote lines, in the order of
// their names.
func SummarizeDaemons(lines []Line) []DaemonSummary {
	byName := make(map[string]*DaemonSummary)
	for _, l := range lines {
		if l.Daemon == "" {
			continue
		}
		d := byName[l.Daemon]
		if d == nil {
			d = &DaemonSummary{Daemon: l.Daemon}
			byName[l.Daemon] = d
		}
		d.add(l)
	}
	daemons := []DaemonSummary{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		daemons = append(daemons, *byName[name])
	}
	return daemons
}

func (d *DaemonSummary) add(l Line) {
	d.LastLine = l.Time
	if strings.HasPrefix(l.Level, "warn") || l.Level == "error" {
		d.Warnings++
	}
	switch l.Message {
	case MessageLeadershipAcquired:
		d.IsLeader, d.Epoch = true, l.Epoch
	case MessageLeaseNotRenewed, MessageDeposed, MessageLeadershipReleased:
		d.IsLeader = false
	case MessageProcessStarted:
		d.IsLeader, d.StoreLost = false, false
	case MessageStoreLost:
		d.StoreLost = true
	case MessageStoreRegained:
		d.StoreLost = false
	}
}
