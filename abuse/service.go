package abuse

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/guavarill/guavarill/adapter/jobapi"
	"github.com/guavarill/guavarill/core/job"
	standin "github.com/guavarill/guavarill/standin/platform"
)

const (
	// callerDeadline is how long a caller waits for an answer. It is sent with the call.
	callerDeadline = 3 * time.Second
	// submitTries is how often a caller tries to submit a job.
	submitTries = 5
	// retryPause is the time between two tries.
	retryPause = 200 * time.Millisecond
	// submitInterval is the time between two jobs.
	submitInterval = 500 * time.Millisecond
	// calmLength is how long callers come after the crowd has gone.
	calmLength = time.Second
	// jobTasks is the number of tasks of a job.
	jobTasks = 8
	// readyInterval is the time between two of the balancer's readiness checks, and
	// readyMisses how many failed ones in a row take a daemon out of rotation.
	readyInterval = time.Second
	readyMisses   = 2
	// promptly is the share of the jobs, in percent, that are to be accepted within the
	// callers' deadline from their first try on.
	promptly = 75
)

// Service is how ordinary callers fared.
type Service struct {
	// Jobs were submitted; of these Accepted were, InTime within the callers' deadline,
	// the slowest after Slowest.
	Jobs, Accepted, InTime int
	Slowest                time.Duration
	// Ready counts the readiness checks, ReadyInTime those answered in time.
	Ready, ReadyInTime int
	// Missed names daemons that were taken out of rotation.
	Missed []string
}

// String implements fmt.Stringer.
func (s *Service) String() string {
	return fmt.Sprintf("accepted %d of %d, %d within %s, slowest %d ms, ready %d of %d",
		s.Accepted, s.Jobs, s.InTime, callerDeadline, s.Slowest.Milliseconds(), s.ReadyInTime, s.Ready)
}

// unserved returns what callers did not get at a time.
func (s *Service) unserved(when string) []string {
	var list []string
	if s.Accepted < s.Jobs {
		list = append(list, fmt.Sprintf("%s %d of %d jobs were not accepted in %d tries", when, s.Jobs-s.Accepted, s.Jobs, submitTries))
	}
	if s.InTime*100 < s.Jobs*promptly {
		list = append(list, fmt.Sprintf("%s %d of %d jobs were accepted within %s", when, s.InTime, s.Jobs, callerDeadline))
	}
	return list
}

// missed returns which daemons did not answer at a time.
func (s *Service) missed(when string) []string {
	var list []string
	for _, name := range s.Missed {
		list = append(list, fmt.Sprintf("%s %s missed %d readiness checks in a row", when, name, readyMisses))
	}
	return list
}

// ordinary submits jobs, and looks whether the daemons are ready.
type ordinary struct {
	rig    *Rig
	rnd    *rand.Rand
	caller *standin.Caller
	// part is the first half of the jobs' ids.
	part uint64

	mu    sync.Mutex
	jobs  []*ordinaryJob
	stats Service
}

// ordinaryJob is one submitted job.
type ordinaryJob struct {
	id       string
	accepted bool
	// ruledOut is set while all answers said that the job never runs.
	ruledOut bool
	took     time.Duration
	// final is the last state that was read.
	final job.State
}

// serve plays ordinary callers until ctx ends and the answers of all are there.
func (r *Rig) serve(ctx context.Context) *ordinary {
	part := uint64(len(r.served) + 1)
	o := &ordinary{
		rig: r, rnd: seeded(r.o.Seed, part), part: part,
		caller: &standin.Caller{
			Client: &http.Client{Timeout: callerDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
			Queue:  standin.JobsQueue(), Timeout: callerDeadline,
		},
	}
	r.served = append(r.served, o)
	var playing sync.WaitGroup
	for i := range r.daemons {
		playing.Go(func() { o.watchReadiness(ctx, i) })
	}
	for n := 1; ctx.Err() == nil; n++ {
		j := &ordinaryJob{id: fmt.Sprintf("%04x%012x", part, n), ruledOut: true}
		o.jobs = append(o.jobs, j)
		order := o.rnd.Perm(len(r.daemons))
		playing.Go(func() { o.submit(j, order) })
		pause(ctx, submitInterval)
	}
	playing.Wait()
	return o
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// submit submits a job at one daemon after the other.
func (o *ordinary) submit(j *ordinaryJob, order []int) {
	began := time.Now()
	for try := range submitTries {
		address := o.rig.daemons[order[try%len(order)]].Front()
		status, err := o.caller.Submit(address, j.id, []int{jobTasks})
		switch {
		case err == nil && status == http.StatusOK:
			j.accepted, j.took = true, time.Since(began)
			return
		case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
		case err != nil && jobapi.NotSent(err):
		default:
			j.ruledOut = false
		}
		time.Sleep(retryPause)
	}
}

// watchReadiness checks a daemon's readiness as the balancer does.
func (o *ordinary) watchReadiness(ctx context.Context, number int) {
	p := o.rig.daemons[number]
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for ctx.Err() == nil {
		asked := time.Now()
		response, err := client.Get("http://" + p.Settings.Listen.Readiness + "/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		misses++
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		}
		o.noteReadiness(p.Name, misses)
		pause(ctx, readyInterval-time.Since(asked))
	}
}

func (o *ordinary) noteReadiness(name string, misses int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.Ready++
	switch misses {
	case 0:
		o.stats.ReadyInTime++
	case readyMisses:
		o.stats.Missed = append(o.stats.Missed, name)
	}
}

// service returns how the callers fared.
func (o *ordinary) service() Service {
	s := o.stats
	for _, j := range o.jobs {
		s.Jobs++
		if !j.accepted {
			continue
		}
		s.Accepted++
		s.Slowest = max(s.Slowest, j.took)
		if j.took <= callerDeadline {
			s.InTime++
		}
	}
	return s
}

// untrue returns the jobs of which a task was started although all answers said that they
// never run.
func (o *ordinary) untrue() []string {
	started := o.rig.startedJobs()
	var list []string
	for _, j := range o.jobs {
		if !j.accepted && j.ruledOut && started[j.id] {
			list = append(list, j.id)
		}
	}
	return list
}

// startedJobs returns the jobs of which a task was started.
func (r *Rig) startedJobs() map[string]bool {
	started := make(map[string]bool)
	for _, e := range r.site.Audit.Events() {
		if key, ok := job.ParseTaskKey(e.Task); ok && e.Kind == standin.AuditStarted {
			started[string(key.Job)] = true
		}
	}
	return started
}

// complete waits until all accepted jobs are completed, or a time has come, and returns which
// are not.
func (o *ordinary) complete(until time.Time) []string {
	for time.Now().Before(until) && len(o.incomplete()) > 0 {
		for _, j := range o.jobs {
			o.look(j)
		}
		time.Sleep(retryPause)
	}
	var broken []string
	for _, id := range o.incomplete() {
		broken = append(broken, fmt.Sprintf("accepted job %s was not completed", id))
	}
	return broken
}

// look reads the state of an accepted job that is not final.
func (o *ordinary) look(j *ordinaryJob) {
	if !j.accepted || j.final.Final() {
		return
	}
	address := o.rig.daemons[o.rnd.IntN(len(o.rig.daemons))].Front()
	if status, state, err := o.caller.State(address, j.id); err == nil && status == http.StatusOK {
		j.final = state
	}
}

// incomplete returns the accepted jobs that are not known to be completed.
func (o *ordinary) incomplete() []string {
	var list []string
	for _, j := range o.jobs {
		if j.accepted && j.final != job.Completed {
			list = append(list, j.id)
		}
	}
	return list
}
