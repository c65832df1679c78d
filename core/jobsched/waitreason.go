package jobsched

import (
	"fmt"
	"strings"
	"time"
)

// WaitReason names a placement filter, as the reason why it rules out workers.
type WaitReason string

// namedFilter is a placement filter with the reason that it is reported under.
type namedFilter struct {
	reason WaitReason
	filter placementFilter
}

// namedFilters lists the filters in the order in which a step's workers are checked to
// tell why it waits.
var namedFilters = []namedFilter{
	{"not usable", filterUsable}, {"zone cordoned", filterCordon}, {"other service", filterService}, {"label", filterLabel},
	{"on probation", filterProbation}, {"no ticket", filterTicket}, {"too slow", filterSpeed}, {"share of room taken", filterShare},
	{"no memory", filterMemory}, {"no room", filterCommitted},
	{"best-effort processors taken", filterBestEffortCPU}, {"spread", filterSpread}, {"on trial", filterTrial},
	{"would disturb", filterInterference}, {"speed unproven", filterUnproven},
}

// WaitReasons returns all reasons that a step may wait for.
func WaitReasons() []WaitReason {
	reasons := make([]WaitReason, len(namedFilters))
	for i, f := range namedFilters {
		reasons[i] = f.reason
	}
	return reasons
}

// countRuledOut counts the workers that cannot take the step's first task, by the index
// of the first filter that rejects each of them.
func (m *Machine) countRuledOut(s *step) []int {
	m.pass.Spend(m.workers.Len())
	counts := make([]int, len(namedFilters))
	for _, w := range m.workers.All() {
		for i, f := range namedFilters {
			if !f.filter(m, s.tasks[0], w) {
				counts[i]++
				break
			}
		}
	}
	return counts
}

// ruledOut describes which workers cannot take the step's first task, and why.
func (m *Machine) ruledOut(s *step) string { return describeRuledOut(m.countRuledOut(s)) }

func describeRuledOut(counts []int) string {
	var parts []string
	for i, count := range counts {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", namedFilters[i].reason, count))
		}
	}
	return strings.Join(parts, ", ")
}

// mostFrequentReason returns the reason that rules out the most workers, or "" if none
// is ruled out.
func mostFrequentReason(counts []int) WaitReason {
	reason, most := WaitReason(""), 0
	for i, count := range counts {
		if count > most {
			reason, most = namedFilters[i].reason, count
		}
	}
	return reason
}

// LongestWaits returns the longest wait of a step for a worker at the end of the last
// pass, by the reason that ruled out the most workers when the wait was last noted.
// Steps whose wait has not been noted are left out.
func (m *Machine) LongestWaits() map[WaitReason]time.Duration { return m.longestWaits }

// measureWaits updates the longest waits.
func (m *Machine) measureWaits() {
	m.longestWaits = make(map[WaitReason]time.Duration)
	for s := range m.pending.All() {
		if s.waitReason != "" && !s.waitingSince.IsZero() {
			m.longestWaits[s.waitReason] = max(m.longestWaits[s.waitReason], m.now.Sub(s.waitingSince))
		}
	}
}

// describeBestEffortUse compares the processors that best-effort attempts ask for, and
// what they may use at their present shares, with those that are committed to other
// tasks.
func (m *Machine) describeBestEffortUse() string {
	var asked, throttled, committed, capacity int64
	for _, w := range m.workers.All() {
		if !w.isUsable(m.now) {
			continue
		}
		asked += w.bestEffortCPU
		committed += w.committed.MilliCPU
		capacity += w.entry.Capacity.MilliCPU
		for _, a := range w.attempts.All() {
			throttled += a.bestEffortCPU * int64(a.throttle) / fullSpeed
		}
	}
	return fmt.Sprintf("of %s usable cores %s are committed; best-effort work asks for %s, at its present shares for %s",
		cores(capacity), cores(committed), cores(asked), cores(throttled))
}

// cores formats thousandths of a core.
func cores(milliCPU int64) string { return fmt.Sprintf("%.1f", float64(milliCPU)/1000) }
