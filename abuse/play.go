package abuse

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
	"github.com/guavarill/guavarill/standin/process"
)

const (
	daemonCount = 4
	workerCount = 10
	// someDaemons is how many daemons a crowd attacks unless it attacks all.
	someDaemons = 2
	// taskTime is what a task of an ordinary job takes.
	taskTime = 2 * time.Second
	// leaderWithin bounds the time from the start of the daemons to the first leader.
	leaderWithin = 20 * time.Second
	// completeWithin bounds the time from the end of a play until all accepted jobs are
	// completed.
	completeWithin = 20 * time.Second
)

// The daemons' policies are those of the deploy file.
var policyFlags = []string{"--reject-hopeless-jobs", "--share-room", "--worker-speeds"}

// Options describe what crowds attack.
type Options struct {
	Seed uint64
	// Binary is the daemon's program, Dir a folder for settings and logs.
	Binary, Dir string
	// Length is how long each crowd stays.
	Length time.Duration
	// All has crowds attack all daemons in place of two, one of which leads.
	All bool
	// Share is the part of a processor that each daemon has; 0 leaves it all of them.
	Share float64
	// MemoryUnbounded has a daemon's memory measured only.
	MemoryUnbounded bool
}

// Result is what the play of a crowd showed.
type Result struct {
	// PeakMB is the largest resident memory of a daemon that was attacked, and UnreadMB
	// the most that the kernel held for one of them unread.
	PeakMB, UnreadMB float64
	// During are the ordinary callers beside the crowd, After those that came afterwards.
	During, After Service
	// Answers counts the crowd's answers by status, and its connections that ended.
	Answers map[string]int
	// Broken are the rules that did not hold.
	Broken []string
}

// Summary returns the result in one line.
func (r *Result) Summary() string {
	var answers []string
	for status, count := range r.Answers {
		answers = append(answers, fmt.Sprintf("%s:%d", status, count))
	}
	slices.Sort(answers)
	return fmt.Sprintf("peak %.0f MB, unread %.0f MB; during: %s; after: %s; crowd: %s",
		r.PeakMB, r.UnreadMB, r.During.String(), r.After.String(), strings.Join(answers, " "))
}

// Rig is the daemons and the stand-ins around them.
type Rig struct {
	o       Options
	site    *standin.Site
	daemons []*process.Process
	watch   *watch
	// limited are the daemons whose processor is limited.
	limited      sync.WaitGroup
	stopLimiting context.CancelFunc
	// served are the ordinary callers of all plays.
	served []*ordinary
}

// Start starts everything and waits until a daemon leads.
func Start(o Options) (*Rig, error) {
	r := &Rig{o: o, site: standin.NewSite()}
	if err := r.start(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) start() error {
	r.site.Limits = standin.UsersLimits()
	r.site.Store.LimitRate(standin.StoreWritesPerSecond, standin.StoreReadsPerSecond)
	r.site.Configure(standin.JobsQueue())
	for i := range workerCount {
		r.site.AddWorker(fmt.Sprintf("worker-%d", i+1), taskTime)
	}
	for i := range daemonCount {
		if err := r.startDaemon(fmt.Sprintf("daemon-%d", i+1)); err != nil {
			return err
		}
	}
	r.watch = startWatch(r.daemons, !r.o.MemoryUnbounded)
	if err := r.awaitLeader(); err != nil || r.o.Share == 0 {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stopLimiting = stop
	for _, p := range r.daemons {
		r.limited.Go(func() { limitProcessor(ctx, p, r.o.Share) })
	}
	return nil
}

func (r *Rig) startDaemon(name string) error {
	settings := r.site.SettingsFile(name, r.site.StoreAddress())
	if r.o.Share > 0 {
		settings = bytes.Replace(settings, []byte("limits: {"), fmt.Appendf(nil, "limits: {cpuShare: %g, ", r.o.Share), 1)
	}
	p, err := process.New(r.o.Dir, r.o.Binary, name, settings)
	if err != nil {
		return err
	}
	p.Flags = append(p.Flags, policyFlags...)
	p.Limits.FileDescriptors = standin.VMFileDescriptors
	if r.o.Share > 0 {
		p.Env = append(p.Env, oneProcessor)
	}
	r.daemons = append(r.daemons, p)
	return p.Start()
}

// NoLeaderError reports that no daemon leads.
type NoLeaderError struct{}

// Error implements error.
func (*NoLeaderError) Error() string { return "no daemon leads" }

func (r *Rig) awaitLeader() error {
	for began := time.Now(); time.Since(began) < leaderWithin; time.Sleep(50 * time.Millisecond) {
		if r.leader() >= 0 {
			return nil
		}
	}
	return &NoLeaderError{}
}

// leader returns the number of the daemon that leads, -1 if none says so.
func (r *Rig) leader() int {
	return slices.IndexFunc(r.daemons, (*process.Process).Leads)
}

// Close ends everything.
func (r *Rig) Close() {
	if r.stopLimiting != nil {
		r.stopLimiting()
		r.limited.Wait()
	}
	if r.watch != nil {
		r.watch.stop()
	}
	for _, p := range r.daemons {
		p.Close()
	}
	r.site.Close()
}

// AttackedCount returns how many daemons a crowd attacks.
func (r *Rig) AttackedCount() int {
	if r.o.All {
		return len(r.daemons)
	}
	return someDaemons
}

// attacked returns the daemons that a crowd attacks. The leader is the first.
func (r *Rig) attacked() []*process.Process {
	list := slices.Clone(r.daemons)
	if i := r.leader(); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	return list[:r.AttackedCount()]
}

// Play plays a crowd with a number of connections to each daemon that it attacks, and then
// ordinary callers alone.
func (r *Rig) Play(c Crowd, connections int) *Result {
	attacked := r.attacked()
	r.watch.reset()
	attack := newCrowd(r.o.Seed, c, connections, attacked)
	ctx, cancel := context.WithTimeout(context.Background(), r.o.Length)
	defer cancel()
	var playing sync.WaitGroup
	playing.Go(func() { attack.play(ctx) })
	during := r.serve(ctx)
	playing.Wait()
	calm, cancel := context.WithTimeout(context.Background(), calmLength)
	defer cancel()
	after := r.serve(calm)
	result := &Result{During: during.service(), After: after.service(), Answers: attack.answers()}
	result.PeakMB, result.UnreadMB = r.watch.peaks(attacked)
	result.Broken = slices.Concat(r.watch.broken(), result.During.missed("beside the crowd"), result.After.missed("after the crowd"))
	return result
}

// checkServed adds what ordinary callers did not get to the rules that did not hold.
func (r *Result) checkServed() {
	r.Broken = slices.Concat(r.Broken, r.During.unserved("beside the crowd"), r.After.unserved("after the crowd"))
}

// Finish returns what did not hold until the end. If complete is set it waits for the jobs of
// all plays, which are to be completed.
func (r *Rig) Finish(complete bool) []string {
	var broken []string
	began := time.Now()
	for _, o := range r.served {
		if complete {
			broken = append(broken, o.complete(began.Add(completeWithin))...)
		}
		for _, id := range o.untrue() {
			broken = append(broken, fmt.Sprintf("job %s ran, and its caller was told that it never does", id))
		}
	}
	for _, p := range r.daemons {
		if what := p.Failed(); what != "" {
			broken = append(broken, what)
		}
	}
	return append(broken, r.site.Audit.Twice()...)
}

// seeded returns a generator for one part of a play.
func seeded(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }
