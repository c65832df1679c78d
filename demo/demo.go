package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/server"
	"github.com/guavarill/guavarill/settings"
	"github.com/guavarill/guavarill/standin/site"
)

// Options configures a run.
type Options struct {
	Deployment Deployment
	// Out takes the progress and the report.
	Out io.Writer
	Log *logrus.Logger
	// Serve keeps everything up until the context ends, and sends nothing.
	Serve bool
}

// The run's course.
const (
	daemonCount  = 3
	readyTimeout = 30 * time.Second
	runTimeout   = 25 * time.Second
	beforeKill   = 4 * time.Second
	beforeReturn = 4 * time.Second
	beforeDrain  = time.Second
	pollEvery    = 100 * time.Millisecond
)

// Short leases let the demo show a takeover within its minute.
const (
	leaseTTL       = 3 * time.Second
	taskLease      = 6 * time.Second
	outageGrace    = 3 * time.Second
	balancerNotice = time.Second
	drainTimeout   = 10 * time.Second
)

// StepError says which step of a run did not come about in time.
type StepError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *StepError) Error() string {
	if e.Cause == nil {
		return e.Step + ": not in time"
	}
	return e.Step + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// NotAcceptedError is a sample manifest that was not accepted.
type NotAcceptedError struct{ Result adminapi.ChangeResult }

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return string(e.Result.Outcome) + ": " + e.Result.Detail
}

// run is one demo.
type run struct {
	o       Options
	site    *site.Site
	daemons [daemonCount]*member
	callers *callers
}

// member is one daemon of the demo; server is nil while it is down.
type member struct {
	id     string
	zone   model.Zone
	server *server.Server
	done   chan error
	events []timeline.Event
}

// Run runs the demo and returns its report. An error is a *StepError or the
// failure of a part to start; a report with broken promises is no error here.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{o: o, callers: newCallers(o.Deployment.Service)}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if o.Serve {
		r.printAddresses()
		<-ctx.Done()
		return nil, nil
	}
	if err := r.course(ctx); err != nil {
		return nil, err
	}
	return r.report(), nil
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.o.Out, format+"\n", args...)
}

func (r *run) start(ctx context.Context) error {
	s, err := site.Start(r.o.Deployment.Site)
	if err != nil {
		return err
	}
	r.site = s
	r.say("%s: %d workers, store and list of VMs are up", r.o.Deployment.Name, len(s.Agents))
	for i := range r.daemons {
		zones := r.o.Deployment.Site.Zones
		r.daemons[i] = &member{id: fmt.Sprintf("entry-%d", i+1), zone: zones[i%len(zones)]}
		if err := r.startDaemon(r.daemons[i]); err != nil {
			return err
		}
	}
	if err := r.waitFor(ctx, "all shards owned", r.shardsOwned); err != nil {
		return err
	}
	if err := r.applyManifest(ctx); err != nil {
		return err
	}
	return r.waitFor(ctx, "service up and entries ready", r.serviceUp)
}

func (r *run) startDaemon(m *member) error {
	srv, err := server.New(settings.Daemon{
		Cluster: r.o.Deployment.Name, ID: m.id, Zone: string(m.zone),
		ListenCallers: "127.0.0.1:0", ListenAdmin: "127.0.0.1:0", ListenPeers: "127.0.0.1:0",
		Store: r.site.StoreAddress(), VMList: r.site.VMListURL(), StoreTimeout: time.Second,
		StoreReads: 1500, StoreWrites: 300,
		LeaseTTL: leaseTTL, TaskLease: taskLease, OutageGrace: outageGrace,
		BalancerNotice: balancerNotice, DrainTimeout: drainTimeout,
		RacksPerShard: 2, MaxBodyBytes: 1 << 20, TimelineEvents: 20000,
	}, r.o.Log)
	if err != nil {
		return err
	}
	m.server = srv
	m.done = make(chan error, 1)
	r.site.AddEntry(m.id, m.zone, srv.PeersAddress())
	go func() { m.done <- srv.Run(context.Background()) }()
	return nil
}

// balance offers the callers the entries that say they are ready, as the
// platform's balancer would.
func (r *run) balance() {
	var addresses []string
	for _, m := range r.up() {
		if ready(m.server.CallersAddress()) {
			addresses = append(addresses, m.server.CallersAddress())
		}
	}
	r.callers.setEntries(addresses)
}

func (r *run) allReady(context.Context) bool {
	for _, m := range r.up() {
		if !ready(m.server.CallersAddress()) {
			return false
		}
	}
	return true
}

func ready(address string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pause lets time pass while the balancer goes on looking.
func (r *run) pause(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for ctx.Err() == nil && time.Now().Before(end) {
		r.balance()
		pause(ctx, min(balancerNotice/2, time.Until(end)))
	}
}

func (r *run) up() []*member {
	var list []*member
	for _, m := range r.daemons {
		if m != nil && m.server != nil {
			list = append(list, m)
		}
	}
	return list
}

func (r *run) waitFor(ctx context.Context, step string, reached func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	for !reached(ctx) {
		if ctx.Err() != nil {
			return &StepError{Step: step}
		}
		r.pause(ctx, pollEvery)
	}
	r.say("%s after %.1f s", step, time.Since(began).Seconds())
	return nil
}

func (r *run) statuses(ctx context.Context) []daemon.Status {
	var list []daemon.Status
	for _, m := range r.up() {
		if st, err := m.server.Daemon().Status(ctx); err == nil {
			list = append(list, st)
		}
	}
	return list
}

func (r *run) tasks(ctx context.Context) []daemon.TaskStatus {
	var list []daemon.TaskStatus
	for _, m := range r.up() {
		if tasks, err := m.server.Daemon().Tasks(ctx); err == nil {
			list = append(list, tasks...)
		}
	}
	return list
}

func (r *run) shardsOwned(ctx context.Context) bool {
	owned, shards := 0, uint32(0)
	for _, st := range r.statuses(ctx) {
		if st.Shards == 0 {
			return false
		}
		owned += len(st.Owned)
		shards = max(shards, st.Shards)
	}
	return shards > 0 && owned == int(shards)
}

func (r *run) applyManifest(ctx context.Context) error {
	client := adminapi.NewClient(r.daemons[0].server.AdminAddress(), http.DefaultTransport)
	result, err := client.Apply(ctx, r.o.Deployment.Manifest, nil, false)
	if err != nil {
		return &StepError{Step: "manifest applied", Cause: err}
	}
	if result.Outcome != adminapi.Accepted {
		return &StepError{Step: "manifest applied", Cause: &NotAcceptedError{Result: result}}
	}
	r.say("manifest %s as revision %d: %d workloads added", result.Outcome, result.Revision, len(result.Diff.Added))
	return nil
}

func (r *run) serviceUp(ctx context.Context) bool {
	if !r.allReady(ctx) {
		return false
	}
	running, wanted := 0, 0
	for _, t := range r.tasks(ctx) {
		if t.Workload != r.o.Deployment.Service || t.State == ledger.Moved.String() {
			continue
		}
		wanted++
		if t.State == ledger.Running.String() {
			running++
		}
	}
	return wanted > 0 && running == wanted && r.entriesSettled()
}

// entriesSettled reports whether all entries are past the time after their
// start in which they do not take non-idempotent requests.
func (r *run) entriesSettled() bool {
	for _, m := range r.up() {
		if len(m.server.Daemon().Engine().TargetStates(r.o.Deployment.Service)) == 0 {
			return false
		}
	}
	return true
}

// course is what happens to the deployment while callers call.
func (r *run) course(ctx context.Context) error {
	r.balance()
	callCtx, stopCalls := context.WithTimeout(ctx, runTimeout)
	defer stopCalls()
	calls := make(chan struct{})
	go func() {
		defer close(calls)
		r.callers.run(callCtx)
	}()
	r.pause(ctx, beforeKill)
	r.kill(r.daemons[2])
	r.pause(ctx, beforeReturn)
	if err := r.restart(r.daemons[2]); err != nil {
		return err
	}
	if err := r.waitFor(ctx, "entry-3 ready again", r.allReady); err != nil {
		return err
	}
	r.pause(ctx, beforeDrain)
	if err := r.drain(r.daemons[1]); err != nil {
		return err
	}
	err := r.waitFor(ctx, "batch job finished", r.batchDone)
	for callCtx.Err() == nil {
		r.pause(callCtx, pollEvery)
	}
	<-calls
	if err != nil {
		return err
	}
	return r.waitFor(ctx, "all shards owned", r.shardsOwned)
}

func (r *run) kill(m *member) {
	m.events = append(m.events, m.server.Daemon().Timeline()...)
	srv := m.server
	m.server = nil
	srv.Kill()
	<-m.done
	r.say("%s killed", m.id)
}

func (r *run) restart(m *member) error {
	if err := r.startDaemon(m); err != nil {
		return err
	}
	r.say("%s restarted", m.id)
	return nil
}

// drain stops a daemon in the planned way. The balancer notices a moment after
// readiness is withdrawn.
func (r *run) drain(m *member) error {
	client := adminapi.NewClient(m.server.AdminAddress(), http.DefaultTransport)
	if err := client.Drain(context.Background()); err != nil {
		return &StepError{Step: "drain of " + m.id, Cause: err}
	}
	r.pause(context.Background(), balancerNotice)
	srv := m.server
	m.server = nil
	if err := <-m.done; err != nil {
		return &StepError{Step: "drain of " + m.id, Cause: err}
	}
	m.events = append(m.events, srv.Daemon().Timeline()...)
	r.say("%s drained", m.id)
	return nil
}

func (r *run) batchDone(ctx context.Context) bool {
	done, all := 0, 0
	for _, t := range r.tasks(ctx) {
		if t.Workload != r.o.Deployment.Batch || t.State == ledger.Moved.String() {
			continue
		}
		all++
		if t.State == ledger.Succeeded.String() {
			done++
		}
	}
	return all > 0 && done == all && r.shardsOwned(ctx)
}

func (r *run) printAddresses() {
	for _, m := range r.up() {
		r.say("%s  callers http://%s  admin http://%s", m.id, m.server.CallersAddress(), m.server.AdminAddress())
	}
	r.say("store %s  list of VMs %s", r.site.StoreAddress(), r.site.VMListURL())
}

func (r *run) close() {
	for _, m := range r.up() {
		m.server.Kill()
		<-m.done
		m.server = nil
	}
	if r.site != nil {
		r.site.Close()
	}
}
