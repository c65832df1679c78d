package crashes

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

const (
	// Most is how many workers may crash under a task. The platform's contract
	// tolerates two more starts after the third crash.
	Most = mostTolerated + mostFurtherStarts
	// mostTolerated is the number of crashes after which the contract bounds the starts, and
	// mostFurtherStarts that bound.
	mostTolerated, mostFurtherStarts = 3, 2
	// minCertain is how many attempts must certainly have been running when their
	// workers crashed, unless there are Most.
	minCertain = 2
	// StableRunTime is the run time after which the end of an attempt is not attributed
	// to its start.
	StableRunTime = 4 * time.Second
	// ReportDelay is by how much the run time of an attempt may exceed the observed one:
	// the time between two reports, plus their transfer.
	ReportDelay = 600 * time.Millisecond
	// minComparableRunTime is the minimum run time at which crashes count as being at
	// the same run time. Most tasks are shorter, so that any two of their crashes are
	// close to each other.
	minComparableRunTime = time.Second
)

// Evidence holds the crashes of workers under a task since its last long run, in order.
type Evidence []job.Crash

// Add returns the evidence with one more crash. If one of the last two attempts ran for
// StableRunTime, the earlier crashes are dropped, unless the two crashes came at the same
// run time.
func (e Evidence) Add(c job.Crash) Evidence {
	if len(e) == 0 {
		return Evidence{c}
	}
	last := e[len(e)-1]
	long := max(last.ObservedRunMs, c.ObservedRunMs) >= StableRunTime.Milliseconds()
	if long && !atSameRunTime(last, c) {
		c.CountsAnew = true
		return Evidence{c}
	}
	return append(slices.Clone(e), c)
}

// AddOtherEnd returns the evidence with one more attempt, which has ended otherwise than
// with its worker and before it had run for StableRunTime.
func (e Evidence) AddOtherEnd() Evidence {
	if len(e) == 0 {
		return e
	}
	e = slices.Clone(e)
	e[len(e)-1].Followed = true
	return e
}

// Withdraw returns the evidence without the crash of an attempt that turned out to have
// ended otherwise, which counts as another start then.
func (e Evidence) Withdraw(attempt int) Evidence {
	i := slices.IndexFunc(e, func(c job.Crash) bool { return c.Attempt == attempt })
	if i < 0 {
		return e
	}
	missesNone := !e.mayMissEarlier()
	left := slices.Delete(slices.Clone(e), i, i+1)
	if i > 0 {
		left[i-1].Followed = true
	} else if len(left) > 0 {
		left[0].CountsAnew = missesNone
	}
	return left
}

// Latest returns the last Most crashes.
func (e Evidence) Latest() Evidence { return e[max(len(e)-Most, 0):] }

// TooMany reports whether a task with these crashes must be given up. It is not given up
// earlier, whatever the crashes have in common: a worker that crashes is no failure of the
// tasks that run there.
func (e Evidence) TooMany() bool {
	return len(e) >= Most || e.certain() >= minCertain && e.furtherStarts() >= mostFurtherStarts
}

// certain returns in how many of the crashes the attempt was certainly running.
func (e Evidence) certain() int {
	n := 0
	for _, c := range e {
		if !c.Uncertain {
			n++
		}
	}
	return n
}

// furtherStarts returns how many starts may have followed the last tolerated crash. A
// crash that may not have been counted adds one. Only one that came before the first makes
// an earlier of the counted crashes the last tolerated one.
func (e Evidence) furtherStarts() int {
	starts := len(e) - mostTolerated
	if e.mayMissOne() {
		starts++
	}
	lastTolerated := mostTolerated - 1
	if e.mayMissEarlier() {
		lastTolerated--
	}
	for i, c := range e {
		if c.Followed && i >= lastTolerated {
			starts++
		}
	}
	return starts
}

// mayMissOne reports whether a crash of the task may not have been counted: only a
// first attempt has none before it, and a crash that a later leader learned of may have
// followed others. After a counted crash all starts are trials, of which none is missed,
// also if that crash has been dropped.
func (e Evidence) mayMissOne() bool {
	unknown := func(c job.Crash) bool { return c.ObservedRunMs == job.ObservedRunUnknown }
	return e.mayMissEarlier() || slices.ContainsFunc(e, unknown)
}

// mayMissEarlier reports whether a crash before the first that was counted may be missing.
func (e Evidence) mayMissEarlier() bool { return e[0].Attempt > 1 && !e[0].CountsAnew }

// Suspicious returns how many of the crashes are suspicious.
func (e Evidence) Suspicious() int {
	n := 0
	for _, c := range e {
		if IsSuspicious(c) {
			n++
		}
	}
	return n
}

// HasVague reports whether one of the crashes is vague.
func (e Evidence) HasVague() bool { return slices.ContainsFunc(e, isVague) }

// AllAtSameRunTime reports whether all crashes came at the same run time and none has
// another possible cause.
func (e Evidence) AllAtSameRunTime() bool {
	for _, c := range e {
		for _, other := range e {
			if hasOtherCause(c) || !atSameRunTime(c, other) {
				return false
			}
		}
	}
	return true
}

// LongestRunTime returns the longest time that the attempts were observed running before
// their workers crashed; unknown is taken for one that is not known. One that ran for
// StableRunTime does not count, as its start was not the cause.
func (e Evidence) LongestRunTime(unknown time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, c := range e {
		seen := time.Duration(c.ObservedRunMs) * time.Millisecond
		switch {
		case c.ObservedRunMs == job.ObservedRunUnknown:
			seen = unknown
		case seen >= StableRunTime:
			seen = 0
		}
		longest = max(longest, seen)
	}
	return longest
}

// String lists the crashes with their attempts and observed run times.
func (e Evidence) String() string {
	text := ""
	for i, c := range e {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("attempt %d ", c.Attempt)
		if c.ObservedRunMs == job.ObservedRunUnknown {
			text += "at a time not known"
		} else {
			text += "seen for " + (time.Duration(c.ObservedRunMs) * time.Millisecond).String()
		}
		if c.Uncertain {
			text += ", perhaps not there"
		}
		if c.Correlated {
			text += " as other workers ended too"
		}
		if c.Shared {
			text += " beside other trials"
		}
		if c.Followed {
			text += ", then one that ended otherwise"
		}
	}
	return text
}

// IsSuspicious reports whether the start of the task may have caused the crash.
func IsSuspicious(c job.Crash) bool {
	return !hasOtherCause(c) && !isVague(c) && c.ObservedRunMs < StableRunTime.Milliseconds()
}

// hasOtherCause reports whether something other than the task may have caused the
// crash.
func hasOtherCause(c job.Crash) bool { return c.Correlated || c.Shared }

// isVague reports whether neither the time of the crash is known nor whether the
// attempt was there.
func isVague(c job.Crash) bool { return c.Uncertain && c.ObservedRunMs == job.ObservedRunUnknown }

// atSameRunTime reports whether two crashes came at the same run time, as far as the
// reports show: either both before the first report, or both late enough and close to
// each other.
func atSameRunTime(a, b job.Crash) bool {
	if a.ObservedRunMs == 0 && b.ObservedRunMs == 0 {
		return true
	}
	near := max(a.ObservedRunMs, b.ObservedRunMs)-min(a.ObservedRunMs, b.ObservedRunMs) <= ReportDelay.Milliseconds()
	return near && min(a.ObservedRunMs, b.ObservedRunMs) >= minComparableRunTime.Milliseconds()
}
