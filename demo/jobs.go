package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/guavarill/guavarill/adapter/jobapi"
	"github.com/guavarill/guavarill/adapter/logsink"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/platform"
	standin "github.com/guavarill/guavarill/standin/platform"
)

// The course of the part of the demo that submits a job.
const (
	jobWorkers  = 4
	jobTaskTime = 1500 * time.Millisecond
	// jobTimeout is far beyond what the job takes, a take-over included.
	jobTimeout = 30 * time.Second
	// jobLogBytes is beyond what the daemons write meanwhile.
	jobLogBytes = 1 << 20
	demoJob     = job.ID("00000000000000d1")
)

// JobReport is what the submitted job came to.
type JobReport struct {
	State job.State
	// Starts counts the attempts that workers began, Tasks the job's tasks.
	Starts, Tasks int
	// Doubled are tasks that ran twice at a time.
	Doubled     []string
	Explanation *joblog.Explanation
}

// OK reports whether every task ran, none of them twice at a time.
func (r *JobReport) OK() bool {
	return r.State == job.Completed && r.Starts == r.Tasks && len(r.Doubled) == 0
}

// Write prints the report.
func (r *JobReport) Write(w io.Writer) {
	fmt.Fprintf(w, "\njob %s          %s, %d tasks in %d attempts, %d doubled\n",
		demoJob, r.State, r.Tasks, r.Starts, len(r.Doubled))
	for _, finding := range r.Explanation.Findings {
		fmt.Fprintf(w, "  %s\n", finding)
	}
}

// jobRun is a deployment that takes jobs.
type jobRun struct {
	out     io.Writer
	site    *standin.Site
	recent  *logsink.Recent
	daemons []*jobDaemon
	running sync.WaitGroup
}

// jobDaemon is one of its daemons.
type jobDaemon struct {
	name   string
	client *jobapi.Client
	stop   context.CancelFunc
	api    *http.Server
}

// RunJob submits a job of two steps to a deployment of three daemons on
// stand-ins, stops the daemon that leads while it runs, and reports.
func RunJob(ctx context.Context, out io.Writer) (*JobReport, error) {
	r := &jobRun{out: out, site: standin.NewSite(), recent: logsink.NewRecent(jobLogBytes)}
	defer r.close()
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	queue := standin.JobsQueue()
	r.site.Configure(queue)
	for i := range jobWorkers {
		r.site.AddWorker(fmt.Sprintf("worker-%d", i+1), jobTaskTime)
	}
	for i := range daemonCount {
		if err := r.start(fmt.Sprintf("daemon-%d", i+1)); err != nil {
			return nil, err
		}
	}
	leader, err := r.submit(ctx, queue.Name)
	if err != nil {
		return nil, err
	}
	return r.lead(ctx, leader)
}

// start starts a daemon with its interface for jobs.
func (r *jobRun) start(name string) error {
	settings, err := platform.ParseSettings(r.site.SettingsFile(name, r.site.StoreAddress()))
	if err != nil {
		return &StepError{Step: "settings of " + name, Cause: err}
	}
	log := logsink.NewLogger(r.recent)
	log.AddHook(logsink.DaemonField(name))
	d := platform.New(settings, jobsched.Policies{}, log)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return &StepError{Step: "interface of " + name, Cause: err}
	}
	ctx, stop := context.WithCancel(context.Background())
	member := &jobDaemon{
		name: name, stop: stop, client: jobapi.NewClient(listener.Addr().String(), http.DefaultTransport),
		api: &http.Server{Handler: d.JobAPI(r.recent.Lines), ReadHeaderTimeout: time.Second},
	}
	r.daemons = append(r.daemons, member)
	r.running.Go(func() { _ = member.api.Serve(listener) })
	r.running.Go(func() {
		if err := d.Run(ctx); err != nil {
			fmt.Fprintf(r.out, "%s: %v\n", name, err)
		}
	})
	return nil
}

// submit submits the job to a daemon that does not lead, and returns the one
// that does.
func (r *jobRun) submit(ctx context.Context, queue string) (*jobDaemon, error) {
	var leader, follower *jobDaemon
	for leader == nil || follower == nil {
		if !pauseFor(ctx) {
			return nil, &StepError{Step: "a daemon leads"}
		}
		leader, follower = r.roles(ctx)
	}
	size := model.Resources{MilliCPU: 4000, MemoryMB: 8000}
	spec := &job.Spec{Steps: []job.Step{
		{Count: 6, Size: size, EstimateMs: jobTaskTime.Milliseconds()},
		{Count: 2, Size: size, EstimateMs: jobTaskTime.Milliseconds(), After: []int{0}},
	}}
	if _, err := follower.client.Submit(ctx, queue, demoJob, spec); err != nil {
		return nil, &StepError{Step: "job submitted", Cause: err}
	}
	fmt.Fprintf(r.out, "job %s submitted to %s, %s leads\n", demoJob, follower.name, leader.name)
	return leader, nil
}

// roles returns the daemon that leads, and a ready one that does not.
func (r *jobRun) roles(ctx context.Context) (leader, follower *jobDaemon) {
	for _, d := range r.daemons {
		status, err := d.client.Status(ctx)
		switch {
		case err != nil || !status.Ready:
		case status.Leads:
			leader = d
		default:
			follower = d
		}
	}
	return leader, follower
}

// lead stops the leader while the first step runs, and follows the job to its
// end.
func (r *jobRun) lead(ctx context.Context, leader *jobDaemon) (*JobReport, error) {
	other := r.daemons[0]
	if other == leader {
		other = r.daemons[1]
	}
	if _, err := r.await(ctx, other, func(s job.State) bool { return s != job.Queued }); err != nil {
		return nil, err
	}
	leader.stop()
	fmt.Fprintf(r.out, "%s stopped while the job runs\n", leader.name)
	state, err := r.await(ctx, other, job.State.Final)
	if err != nil {
		return nil, err
	}
	lines, _ := joblog.Parse(r.recent.Lines(), "")
	report := &JobReport{
		State: state, Tasks: 8, Doubled: r.site.Audit.Twice(),
		Explanation: joblog.Explain(joblog.Merge(lines), demoJob),
	}
	for _, w := range r.site.Workers {
		report.Starts += w.Starts()
	}
	return report, nil
}

// await waits until a daemon tells a state that is wanted.
func (r *jobRun) await(ctx context.Context, d *jobDaemon, wanted func(job.State) bool) (job.State, error) {
	for {
		told, err := d.client.State(ctx, demoJob)
		if err == nil && wanted(told.State) {
			return told.State, nil
		}
		if !pauseFor(ctx) {
			return "", &StepError{Step: "job goes on", Cause: err}
		}
	}
}

// pauseFor waits a moment, and returns false if ctx has ended.
func pauseFor(ctx context.Context) bool {
	pause(ctx, pollEvery)
	return ctx.Err() == nil
}

func (r *jobRun) close() {
	for _, d := range r.daemons {
		d.stop()
		_ = d.api.Close()
	}
	r.running.Wait()
	r.site.Close()
}
