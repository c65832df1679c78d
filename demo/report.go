package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/daemon"
)

// Report is what a run came to. What was broken is counted at the stand-ins.
type Report struct {
	Fates map[string]int
	// Reasons counts the answers that were no answer of the service.
	Reasons   map[string]int
	Resent    int64
	P50Micros int64
	P99Micros int64
	Tasks     map[string]int
	Evictions uint32
	// Doubled are requests that ran more than once at the targets, Lost those
	// whose caller was told `answered` and that no target ran, False those
	// whose caller was told `not run` and that a target ran.
	Doubled int
	Lost    int
	False   int
	// MostSlots is the most requests that any target ran at once.
	MostSlots  int
	Violations []string
	Events     []timeline.Event
}

// OK reports whether nothing was lost, doubled or overcommitted.
func (r *Report) OK() bool {
	return r.Doubled == 0 && r.Lost == 0 && r.False == 0 && len(r.Violations) == 0 && r.Fates[fate.Answered.String()] > 0
}

func (r *run) report() *Report {
	rep := &Report{
		Fates:     make(map[string]int),
		Tasks:     make(map[string]int),
		Reasons:   r.callers.reasons,
		Resent:    r.callers.resent.Load(),
		P50Micros: r.callers.latency.ValueAtQuantile(50),
		P99Micros: r.callers.latency.ValueAtQuantile(99),
	}
	r.countRequests(rep)
	r.countTasks(rep)
	for _, v := range r.site.Audit() {
		rep.Violations = append(rep.Violations, v.String())
	}
	var lists [][]timeline.Event
	for _, m := range r.daemons {
		events := m.events
		if m.server != nil {
			events = append(events, m.server.Daemon().Timeline()...)
		}
		lists = append(lists, events)
	}
	rep.Events = timeline.Merge(lists...)
	return rep
}

func (r *run) countRequests(rep *Report) {
	runs := make(map[string]int)
	for _, t := range r.site.Targets() {
		rep.MostSlots = max(rep.MostSlots, t.MaxConcurrentRuns())
		for id, n := range t.AllRuns() {
			runs[id] += n
		}
	}
	for id, f := range r.callers.fates {
		rep.Fates[f.String()]++
		n := runs[id]
		switch {
		case n > 1:
			rep.Doubled++
		case f == fate.Answered && n == 0:
			rep.Lost++
		case f == fate.NotRun && n > 0:
			rep.False++
		}
	}
}

func (r *run) countTasks(rep *Report) {
	var tasks []daemon.TaskStatus
	for _, m := range r.up() {
		list, err := m.server.Daemon().Tasks(context.Background())
		if err == nil {
			tasks = append(tasks, list...)
		}
	}
	for _, t := range tasks {
		if t.State == ledger.Moved.String() {
			continue
		}
		rep.Tasks[t.State]++
		rep.Evictions += t.Evictions
	}
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "\nrequests by fate    %s\n", counts(r.Fates))
	fmt.Fprintf(w, "reasons             %s\n", counts(r.Reasons))
	fmt.Fprintf(w, "sent again          %d after not run\n", r.Resent)
	fmt.Fprintf(w, "latency             p50 %.1f ms, p99 %.1f ms\n", float64(r.P50Micros)/1000, float64(r.P99Micros)/1000)
	fmt.Fprintf(w, "tasks by state      %s\n", counts(r.Tasks))
	fmt.Fprintf(w, "evictions           %d\n", r.Evictions)
	fmt.Fprintf(w, "slots               at most %d in use on one instance\n", r.MostSlots)
	fmt.Fprintf(w, "requests doubled    %d\n", r.Doubled)
	fmt.Fprintf(w, "requests lost       %d\n", r.Lost)
	fmt.Fprintf(w, "false not run       %d\n", r.False)
	fmt.Fprintf(w, "promises broken     %d at the workers\n", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
}

func counts(m map[string]int) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", name, m[name])
	}
	return text
}
