package jobsched

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// partCosts are the processor times of a leader of 1,100 workers by part of its work, on
// a whole core.
var partCosts = [NumParts]time.Duration{
	PartReports: 19 * time.Microsecond, PartSpeeds: 5 * time.Microsecond, PartLearning: 31 * time.Microsecond, PartShares: 8 * time.Microsecond,
	PartSweep: 1900 * time.Microsecond, PartRenewals: 40 * time.Microsecond,
	PartForecast: 50 * time.Microsecond, PartCommit: 250 * time.Microsecond,
}

const (
	// eventTime, startTime and checkTime are what an event, a start and a check of a
	// worker for a task take on a whole core; an event with what the connection to its
	// worker needs.
	eventTime = 25 * time.Microsecond
	startTime = 12 * time.Microsecond
	checkTime = 320 * time.Nanosecond
	// stepPause is how long the daemon waits for further events before a step.
	stepPause = 12 * time.Millisecond
)

// newBusyLeader returns a leader that has a part of a core for all of its work, not only
// for the checks of workers.
func newBusyLeader(c *cluster, cores float64) *slowLeader {
	l := newSlowLeader(c.t)
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) / cores) }
	l.checkCost, l.eventCost, l.startCost, l.pause = scaled(checkTime), scaled(eventTime), scaled(startTime), stepPause
	c.machine.options.OnPart = func(p Part) { l.spent += scaled(partCosts[p]) }
	c.machine.options.RoundBudget = int(DefaultRoundBudget * cores)
	c.machine.options.StartsInFlight = int(DefaultStartsInFlight * cores)
	c.machine.options.LearnBudget = int(DefaultLearnBudget * cores)
	return l
}

// urgentAndBatch submits the load of a large cluster: urgent jobs of one to four steps, and
// batch jobs whose tasks use the processors that serving tasks leave.
type urgentAndBatch struct {
	c      *cluster
	rnd    *rand.Rand
	number int
	urgent []*shortJob
}

// serve submits the serving tasks.
func (l *urgentAndBatch) serve(jobs int) {
	for i := range jobs {
		serving := makeStep(24, 3200, time.Second)
		serving.LongRunning, serving.LatencyTargetMs, serving.Image = true, 150, imageOf("serving", i, 5)
		l.submit("urgent", serving)
	}
}

func imageOf(kind string, i, images int) string { return kind + string(rune('a'+i%images)) }

func (l *urgentAndBatch) submit(queue string, steps ...job.Step) job.ID {
	l.number++
	return l.c.submit(l.number, queue, steps...)
}

// second submits the jobs of a second.
func (l *urgentAndBatch) second(jobs int) {
	for i := range jobs {
		l.submitUrgent()
		l.submitBatch(i)
		for end := l.c.now.Add(time.Second / time.Duration(jobs)); l.c.now.Before(end); l.c.tick() {
			l.c.noteCompleted(l.urgent)
		}
	}
}

// steps draws one to four steps, one after the other.
func (l *urgentAndBatch) steps(mean, tasks, milliCPU, taskMs float64) ([]job.Step, time.Duration) {
	var steps []job.Step
	chain := time.Duration(0)
	for i := range max(int(drawLogNormal(l.rnd, mean, 0.4, 4)+0.5), 1) {
		count := max(int(drawLogNormal(l.rnd, tasks, 0.7, 4*tasks)), 1)
		step := makeStep(count, int64(drawLogNormal(l.rnd, milliCPU, 0.4, 3*milliCPU)), time.Duration(drawLogNormal(l.rnd, taskMs, 0.5, 2.5*taskMs))*time.Millisecond)
		if i > 0 {
			step.After = []int{i - 1}
		}
		chain += time.Duration(step.EstimateMs) * time.Millisecond
		steps = append(steps, step)
	}
	return steps, chain
}

func (l *urgentAndBatch) submitUrgent() {
	steps, chain := l.steps(1.6, 13, 3200, 640)
	j := &shortJob{at: l.c.now, chain: chain, allowance: allowanceOf(l.c.config.Queues["urgent"], chain)}
	j.id = l.submit("urgent", steps...)
	l.urgent = append(l.urgent, j)
}

func (l *urgentAndBatch) submitBatch(i int) {
	steps, _ := l.steps(2, 40, 1800, 2200)
	for s := range steps {
		steps[s].BestEffort, steps[s].Checkpointing, steps[s].Image = true, true, imageOf("batch", i, 9)
	}
	l.submit("batch", steps...)
}

// inTimeUnderBusyLeader returns the share of the urgent jobs of four seconds that meet
// their objectives, while the leader has a part of a core.
func inTimeUnderBusyLeader(t *testing.T, cores float64) float64 {
	c := newClusterWith(t, 1, 1100, Policies{RejectHopeless: true, ShareRoom: true, WorkerSpeeds: true})
	l := &urgentAndBatch{c: c, rnd: rand.New(rand.NewPCG(1, 2))}
	l.serve(214)
	c.run(2 * time.Second)
	for range 4 {
		l.second(24)
	}
	c.slow = newBusyLeader(c, cores)
	l.second(24)
	l.urgent = nil
	for range 4 {
		l.second(24)
	}
	measured := l.urgent
	for range 4 {
		l.second(24)
	}
	c.noteCompleted(measured)
	t.Logf("with %.1f cores %.2f of %d jobs in time; %.1f steps a second, busy %.0f%%", cores, inTimeShare(measured), len(measured),
		float64(c.slow.steps)/9, 100*c.slow.total.Seconds()/9)
	return inTimeShare(measured)
}

// TestUrgentJobsEndInTimeUnderABusyLeader guards against urgent jobs that end late because
// the leader has less processor time than its load needs.
func TestUrgentJobsEndInTimeUnderABusyLeader(t *testing.T) {
	const cores, want = 0.3, 0.9
	if got := inTimeUnderBusyLeader(t, cores); got < want {
		t.Errorf("with %.1f cores %.2f of the urgent jobs end in time, want %.2f", cores, got, want)
	}
}
