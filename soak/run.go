package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Binary is the daemon's program, Dir holds the files of the run.
	Binary, Dir string
	// Length is how long faults are injected, Settle how long all jobs have to end
	// after that.
	Length, Settle time.Duration
	// Planned injects no faults but runs the series of planned work, without pauses
	// between them.
	Planned bool
	// Crashing adds a caller whose jobs crash their workers.
	Crashing bool
	// Restarting makes workers restart under the same ids.
	Restarting bool
	// Cordoning adds the series that cordon zones and lift the cordons.
	Cordoning bool
	// Late carries out some acceptances of jobs late and without a response, and adds a
	// caller who cancels such jobs.
	Late bool
	// Large puts every other daemon behind a slow link to the store, and makes the
	// configuration grow and shrink by thousands of queues.
	Large bool
	// Copies has the daemons start copies of slow tasks, and callers submit jobs that
	// allow them.
	Copies bool
	// Overload makes daemons reject jobs by forecast, and adds a caller who submits more
	// jobs than the workers can run.
	Overload bool
}

// linger is how long long-running jobs stay after the last fault: until each of
// their tasks must have run again. Beside drawn faults one of these is always too
// near to the end for the check to accuse anybody.
func (o Options) linger() time.Duration {
	if o.Planned {
		return mostWithout
	}
	return 0
}

const (
	// callerCount is how many callers submit jobs: together about 15 a second.
	callerCount = 4
	// faultLines is the number of concurrent sequences of faults.
	faultLines = 3
	// plannedStream is the number of the first stream of random numbers of the planned
	// series. Faults and callers use lower numbers.
	plannedStream = 200
	// readyTimeout bounds the wait for a leader at the start.
	readyTimeout = 15 * time.Second
)

// Result is the result of a run.
type Result struct {
	// Broken lists the violations that were found.
	Broken []string
	// Jobs counts the submitted jobs, Accepted and Completed those of them that were
	// accepted and completed. Starts counts the attempts that workers started, Faults
	// the injected faults by name.
	Jobs, Accepted, Completed, Starts int
	Faults                            map[string]int
	// Rejections counts the answers that a job was rejected for want of room.
	Rejections int
	// LongestWithout is the longest time for which a long-running task did not run
	// although nothing excused it, LongestTask that task.
	LongestWithout time.Duration
	LongestTask    string
	// LatestCordonedStart is the longest time after a zone was cordoned at which a
	// task was started there.
	LatestCordonedStart time.Duration
}

// Run runs the soak with a seed. It returns an error if the soak itself failed, not if
// it found violations.
func Run(o Options) (*Result, error) {
	r := new(report)
	d, err := newDeployment(o, r)
	defer d.close()
	if err != nil {
		return nil, err
	}
	d.awaitLeader()
	result := &Result{Faults: make(map[string]int)}
	ctx, stop := context.WithTimeout(context.Background(), o.Length)
	defer stop()
	// Callers follow their jobs until all are settled.
	calling, hangUp := context.WithTimeout(context.Background(), o.Length+o.Settle)
	defer hangUp()
	jobs := d.play(ctx, calling, o, result)
	d.finish(o, jobs, result)
	result.Broken = r.list()
	return result, nil
}

// awaitLeader waits until a daemon leads, and reports a violation after readyTimeout.
func (d *deployment) awaitLeader() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(lookEvery) {
		if d.leader() != nil {
			return
		}
	}
	d.report.add("no daemon led %s after the start", readyTimeout)
}

// play runs callers and faults, and returns the jobs.
func (d *deployment) play(ctx, calling context.Context, o Options, result *Result) []*submitted {
	var faulty, callers sync.WaitGroup
	count := counter{result: result}
	d.playFaults(ctx, &faulty, o, &count)
	d.playSeries(ctx, &faulty, o, &count)
	list := make([]*caller, callerCount)
	for i := range list {
		list[i] = newCaller(d, o.Seed, i)
		callers.Go(func() { list[i].run(ctx, calling) })
	}
	keeper := newCaller(d, o.Seed, callerCount)
	callers.Go(func() { keeper.keep(ctx, calling, o.linger()) })
	crasher := newCaller(d, o.Seed, callerCount+1)
	if o.Crashing {
		callers.Go(func() { crasher.crash(ctx, calling) })
	}
	regretter := newCaller(d, o.Seed, callerCount+2)
	if o.Late {
		callers.Go(func() { regretter.regret(ctx, calling) })
	}
	flooder := newCaller(d, o.Seed, callerCount+3)
	if o.Overload {
		callers.Go(func() { flooder.flood(ctx, calling) })
	}
	faulty.Wait()
	d.calm()
	if o.Large {
		d.configureMany(mostQueues)
	}
	d.checkConfigured()
	callers.Wait()
	jobs := append(keeper.jobs, crasher.jobs...)
	jobs = append(jobs, regretter.jobs...)
	jobs = append(jobs, flooder.jobs...)
	for _, c := range list {
		jobs = append(jobs, c.jobs...)
	}
	return jobs
}

// counter counts faults by name.
type counter struct {
	mu     sync.Mutex
	result *Result
}

func (c *counter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Faults[name]++
}

// playFaults starts the sequences of random faults.
func (d *deployment) playFaults(ctx context.Context, faulty *sync.WaitGroup, o Options, count *counter) {
	if o.Planned {
		return
	}
	for line := range faultLines {
		rnd := rand.New(rand.NewPCG(o.Seed, uint64(line)))
		faulty.Go(func() {
			for ctx.Err() == nil {
				f := drawFault(rnd)
				count.add(f.name)
				d.disturb(f, rnd)
				time.Sleep(between(rnd, 0, 1500))
			}
		})
	}
}

// playSeries starts a sequence of each planned series. Each has its own stream of
// random numbers, so that a seed gives the same random faults with and without it.
func (d *deployment) playSeries(ctx context.Context, faulty *sync.WaitGroup, o Options, count *counter) {
	for line, s := range o.series() {
		rnd := rand.New(rand.NewPCG(o.Seed, uint64(plannedStream+line)))
		faulty.Go(func() {
			for ctx.Err() == nil {
				if !o.Planned {
					pause(ctx, between(rnd, 0, 6000))
				}
				count.add(s.name)
				s.play(ctx, d, rnd)
			}
		})
	}
}

// pause waits for the given time or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// finish makes the checks at the end of the run, and fills in the result.
func (d *deployment) finish(o Options, jobs []*submitted, result *Result) {
	d.checkEnd(jobs)
	events := d.site.Audit.Events()
	check(d.report, events, d.site.Audit.Twice(), jobs)
	result.LatestCordonedStart = d.checkCordons(events)
	d.checkLongRunning(events, jobs, result)
	for _, p := range d.daemons {
		if what := p.Failed(); what != "" {
			d.report.add("%s", what)
		}
	}
	result.Jobs = len(jobs)
	for _, j := range jobs {
		if j.fate == accepted {
			result.Accepted++
		}
		result.Rejections += j.rejections
		if j.final == job.Completed {
			result.Completed++
		}
	}
	for _, w := range d.site.Workers {
		result.Starts += w.Starts()
	}
}

// checkEnd checks the state after the run: one daemon leads, and no task of an ended
// job is running.
func (d *deployment) checkEnd(jobs []*submitted) {
	over := make(map[string]bool)
	for _, j := range jobs {
		over[j.id] = j.final != ""
	}
	deadline := time.Now().Add(cancelGrace)
	for {
		left := 0
		for _, task := range stillRunning(d.site.Audit) {
			if id, _, _ := parseTask(task); over[id] {
				left++
			}
		}
		leaders := 0
		for _, p := range d.daemons {
			if p.Leads() {
				leaders++
			}
		}
		if left == 0 && leaders == 1 {
			return
		}
		if time.Now().After(deadline) {
			d.report.add("in the end %d daemons lead, and %d tasks run of jobs that are over", leaders, left)
			return
		}
		time.Sleep(lookEvery)
	}
}
