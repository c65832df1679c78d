package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// Options is what a run plays.
type Options struct {
	Seed uint64
	// Binary is the daemon's program, Dir holds the files of the run.
	Binary, Dir string
	// Length is how long faults come, Settle how long everything has after the
	// last one to be done.
	Length, Settle time.Duration
	// Planned leaves all faults out but the series of planned work, which then
	// follow each other without a pause.
	Planned bool
	// Crashing adds a caller whose jobs crash their workers.
	Crashing bool
	// Restarting has workers start again under their ids.
	Restarting bool
	// Cordoning has zones cordoned and reopened in series.
	Cordoning bool
	// Large has every other daemon reach the store over a slow link, and the
	// configuration grow and shrink by thousands of queues.
	Large bool
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
	// faultLines is how many series of faults go on beside each other.
	faultLines = 3
	// plannedStream is where the streams of random numbers of the planned series
	// begin: beyond those of the faults and of the callers.
	plannedStream = 200
	// readyTimeout bounds the start of the deployment.
	readyTimeout = 15 * time.Second
)

// Result is what a run came to.
type Result struct {
	// Broken lists the promises that were broken.
	Broken []string
	// Jobs counts the jobs submitted and Accepted those that were; Starts the
	// attempts that workers began; Faults by name.
	Jobs, Accepted, Completed, Starts int
	Faults                            map[string]int
	// LongestWithout is the longest time for which a long-running task had no run
	// though nothing excused it, and LongestTask the task.
	LongestWithout time.Duration
	LongestTask    string
	// LatestCordonedStart is the longest time after a zone was cordoned at which a
	// task was started there.
	LatestCordonedStart time.Duration
}

// Run plays a seed. An error is one of the soak itself.
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

// awaitLeader waits until a daemon leads.
func (d *deployment) awaitLeader() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(lookEvery) {
		if d.leader() != nil {
			return
		}
	}
	d.report.add("no daemon led %s after the start", readyTimeout)
}

// play plays callers and faults, and returns the jobs.
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
	faulty.Wait()
	d.calm()
	if o.Large {
		d.configureMany(mostQueues)
	}
	d.checkConfigured()
	callers.Wait()
	jobs := append(keeper.jobs, crasher.jobs...)
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

// playFaults begins the lines of drawn faults.
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

// playSeries begins a line of each planned series, with random numbers of its
// own: the draws of the other lines are those that a seed was kept for.
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

// pause waits, or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// finish checks what is left, and fills the result in.
func (d *deployment) finish(o Options, jobs []*submitted, result *Result) {
	d.checkEnd(jobs)
	events := d.site.Audit.Events()
	check(d.report, events, d.site.Audit.Twice(), jobs)
	result.LatestCordonedStart = d.checkCordons(events)
	d.checkLongRunning(events, jobs, result)
	for _, p := range d.daemons {
		if what := p.failed(); what != "" {
			d.report.add("%s", what)
		}
	}
	result.Jobs = len(jobs)
	for _, j := range jobs {
		if j.fate == accepted {
			result.Accepted++
		}
		if j.final == job.Completed {
			result.Completed++
		}
	}
	for _, w := range d.site.Workers {
		result.Starts += w.Starts()
	}
}

// checkEnd checks that the daemons are at peace in the end: one leads, and
// nothing runs of a job that is over.
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
			if p.leads() {
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
