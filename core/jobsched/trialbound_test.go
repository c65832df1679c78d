package jobsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

const (
	restartFleet = 12
	// restartFleetLeft is how many of its workers are left in the end.
	restartFleetLeft = 6
	// restartGap is the time between two restarts of workers: too long for them to be
	// one event.
	restartGap      = 600 * time.Millisecond
	restartJobs     = 20
	restartJobTasks = 4
)

// TestTakeoversAmidRestartsHoldNothingBack guards against innocent tasks that are tried
// alone one after the other, after workers started again under their ids one by one
// while leaders were lost.
func TestTakeoversAmidRestartsHoldNothingBack(t *testing.T) {
	for seed := range uint64(4) {
		for name, estimate := range map[string]time.Duration{"short": 1200 * time.Millisecond, "long": 30 * time.Second} {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				c := newCluster(t, seed, restartFleet)
				c.keepIDs = true
				c.keepFinalJobs()
				c.run(200 * time.Millisecond)
				var jobs []job.ID
				for i := range restartJobs {
					jobs = append(jobs, c.submit(100+i, "batch", makeStep(restartJobTasks, 1000, estimate)))
				}
				c.run(500 * time.Millisecond)
				c.restartInSeries()
				leases := c.machine.earlierLeasesEnd().Sub(c.now) + unlistedLossGrace
				c.checkAllRunWithin(jobs, leases+c.trialsBound(c.waitingTasks(jobs)))
			})
		}
	}
}

// restartInSeries restarts workers one after the other and loses four leaders meanwhile.
// Then it crashes workers for good until few are left, and loses the leader.
func (c *cluster) restartInSeries() {
	for round := range 4 {
		for i := range 5 {
			c.restartSome(1)
			c.run(restartGap)
			if i == round {
				c.replaceLeader()
			}
		}
	}
	c.restartTime = time.Minute
	c.restartSome(restartFleet - restartFleetLeft)
	c.replaceLeader()
}

// restartSome crashes n random workers that are up.
func (c *cluster) restartSome(n int) {
	for _, i := range c.rnd.Perm(len(c.workers)) {
		w := c.workers[c.workerIDs()[i]]
		if n == 0 {
			return
		}
		if !w.dead {
			c.restart(w)
			n--
		}
	}
}

// trialsBound returns how long n innocent tasks may take to be tried alone: one round
// for the first tasks of their steps, and rounds of 1, 2, 4 ... trials.
func (c *cluster) trialsBound(n int) time.Duration {
	longest := defaultTrialTime + reportDelay
	for s := range c.machine.pending.All() {
		for _, t := range s.tasks {
			longest = max(longest, t.trialTime())
		}
	}
	rounds := 1
	for tried := 0; tried < n; tried = 2*tried + 1 {
		rounds++
	}
	return time.Duration(rounds) * (longest + trialStartTime)
}
