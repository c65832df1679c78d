package jobsched

import (
	"flag"
	"math/rand/v2"
	"testing"
)

var (
	copyDays = flag.Int("copy-days", 60, "the number of days that TestCopiesUnderFaults plays")
	copyFrom = flag.Uint64("copy-from", 0, "the first seed of TestCopiesUnderFaults")
)

// copyStream and slowStream are the streams of random numbers for steps that allow copies
// and for slow attempts.
const copyStream, slowStream = 31, 32

// shortCopyDays is how many of the days of TestCopiesUnderFaults a brief run plays.
const shortCopyDays = 12

// TestCopiesUnderFaults plays random jobs of which half of the steps allow copies, with a
// sixth of the attempts seven times as long, under lost responses, late orders,
// unreachable and failing workers, store outages, cancels, and leaders that are lost or
// hand over. No task runs more than twice at once, nor starts after it is settled, has
// failed as often as it may or was canceled; in the end every job is final.
func TestCopiesUnderFaults(t *testing.T) {
	days := uint64(*copyDays)
	if testing.Short() {
		days = min(days, shortCopyDays)
	}
	started, won, twice := 0, 0, 0
	for seed := *copyFrom; seed < *copyFrom+days; seed++ {
		var day *cluster
		playFaults(t, seed, func(c *cluster) {
			day = c
			c.options.Policies.CopyStragglers = true
			c.copies.allowing = rand.New(rand.NewPCG(seed, copyStream))
			c.copies.slowing, c.copies.slowShare, c.copies.slowFactor = rand.New(rand.NewPCG(seed, slowStream)), 1.0/6, 7
			c.checkRounds = true
			switch seed % 4 {
			case 1:
				c.planned = rand.New(rand.NewPCG(seed, plannedStream))
			case 2:
				c.recordDamages = rand.New(rand.NewPCG(seed, 3))
			case 3:
				c.keepFinalJobs()
				c.crashing = rand.New(rand.NewPCG(seed, crashStream))
			}
			c.replaceLeader()
		})
		if day.copies.most > 1 {
			twice++
		}
		started, won = started+day.copies.started, won+day.copies.won
	}
	t.Logf("tasks ran twice at once on %d of %d days; %d copies started, %d done first", twice, days, started, won)
	if twice < int(days)/2 {
		t.Errorf("tasks ran twice at once on %d of %d days only", twice, days)
	}
}
