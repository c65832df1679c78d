package eviction_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/placement"
)

// The simulator of the policy benchmarks simulates one site in steps of a second.
// Tasks slow services in noisy phases, declared sizes and run times are wrong, and
// reports arrive ten seconds late.

const (
	reportEvery = 3 * time.Second
	reportLag   = 10 * time.Second
	simLength   = 2 * time.Hour
	warmUp      = 10 * time.Minute
)

// site describes the fleet of one user.
type site struct {
	name                    string
	zones, workers, perRack int
	capacity                model.Resources
	instance                model.Resources
	watchers                int
	starts                  float64 // batch tasks submitted a second
}

// class is the real behaviour of a class of batch tasks.
type class struct {
	name         string
	share        float64 // of the submissions
	size         model.Resources
	run          time.Duration
	quiet, noisy float64 // excess slowdown per two cores, in each phase
	noisyFor     time.Duration
	quietFor     time.Duration
	burst        bool // submitted in bursts
}

type workload struct {
	name             string
	class            *class
	declared         model.Resources
	cpu, memory, run float64 // real over declared
}

type simTask struct {
	key                  model.TaskKey
	workload             *workload
	service, long        bool
	used, held, full     model.Resources
	worker               *simWorker
	total, done, saved   float64 // seconds of work
	savedAt, throttledAt time.Time
	percent              uint32
	noisy                bool
	phaseEnds, notBefore time.Time
	evictions            uint32
	last                 model.WorkerID
	slowdown             float64
}

type simWorker struct {
	id     model.WorkerID
	tasks  []*simTask
	load   float64
	latest map[model.TaskKey]eviction.Service
	// room is the snapshot's view of the worker.
	room *placement.Worker
}

// policy is one combination of placement and control to compare.
type policy struct {
	name  string
	place func(s *sim, r *placement.Request) (model.WorkerID, bool)
	learn bool
	// even places one instance of the service on each worker.
	even bool
	// shrink commits the smaller ThrottledSize for throttled tasks.
	shrink  bool
	control func(s *sim, w *simWorker)
	// start returns the throttle percentage at which a task starts.
	start func(s *sim, t *simTask) uint32
}

type outcome struct {
	p50, p99, p999               float64
	finishedPerHour              float64
	evictionsPer1000             float64
	watcherEvictions, kills      int
	starts, evictions, throttles int
	lostSeconds                  float64
}

type sim struct {
	site      site
	set       settings
	policy    policy
	rnd       *rand.Rand
	now       time.Time
	start     time.Time
	workers   []*simWorker
	byID      map[model.WorkerID]*simWorker
	snapshot  *placement.Snapshot
	placer    *placement.Placer
	model     *interference.Model
	sizes     *interference.Sizes
	control   *eviction.Controller
	workloads []*workload
	queue     []*simTask
	inFlight  []report
	index     uint32
	slowdowns *hdrhistogram.Histogram
	out       outcome
	finished  int
}

// settings are the options of the packages under test.
type settings struct {
	model    interference.Options
	sizes    interference.SizeOptions
	eviction eviction.Options
}

func defaultSettings() settings {
	return settings{interference.DefaultOptions(), interference.DefaultSizeOptions(), eviction.DefaultOptions()}
}

func newSim(st site, classes []class, p policy, set settings, seed uint64) *sim {
	s := &sim{
		site: st, set: set, policy: p, rnd: rand.New(rand.NewPCG(seed, 7)),
		now: time.Unix(1_800_000_000, 0), byID: map[model.WorkerID]*simWorker{},
		model:     interference.New(set.model),
		sizes:     interference.NewSizes(set.sizes),
		slowdowns: hdrhistogram.New(1, 1_000_000, 3),
	}
	s.start = s.now
	s.control = eviction.NewController(set.eviction, s.model)
	s.placer = placement.Default(placement.Options{Random: rand.NewPCG(seed, 11)})
	s.addWorkers()
	s.addWorkloads(classes)
	s.addServices()
	return s
}

func (s *sim) addWorkers() {
	var all []placement.Worker
	for i := range s.site.workers {
		rack := i / s.site.perRack
		w := &simWorker{id: model.WorkerID(fmt.Sprintf("w%03d", i)), latest: map[model.TaskKey]eviction.Service{}}
		s.workers = append(s.workers, w)
		s.byID[w.id] = w
		all = append(all, placement.Worker{Free: s.site.capacity, VM: model.VM{
			ID: w.id, Role: model.RoleWorker, State: model.VMLive, Capacity: s.site.capacity,
			Zone: model.Zone(fmt.Sprintf("z%d", rack%s.site.zones)), Rack: model.Rack(fmt.Sprintf("r%02d", rack)),
		}})
	}
	var predictor placement.Predictor
	if s.policy.learn {
		predictor = s.model
	}
	s.snapshot = placement.NewSnapshot(all, predictor)
	for _, w := range s.workers {
		w.room, _ = s.snapshot.Worker(w.id)
	}
}

// declarationError returns a random ratio of real to declared size, between 0.3
// and 4.
func (s *sim) declarationError() float64 {
	return math.Min(4, math.Max(0.3, math.Exp(0.6*s.rnd.NormFloat64())))
}

const workloadsPerClass = 8

func (s *sim) addWorkloads(classes []class) {
	for i := range classes {
		for n := range workloadsPerClass {
			s.workloads = append(s.workloads, &workload{
				name: fmt.Sprintf("%s-%d", classes[i].name, n), class: &classes[i],
				declared: classes[i].size, cpu: s.declarationError(), memory: s.declarationError(), run: s.declarationError(),
			})
		}
	}
}

// addServices places the instances of the service and the route watchers.
func (s *sim) addServices() {
	orders := &workload{name: "orders", class: &class{name: "orders"}, declared: s.site.instance, cpu: 0.8, memory: 1, run: 1}
	watch := &workload{name: "watch", class: &class{name: "watch", quiet: 0.005, noisy: 0.005, quietFor: time.Hour, noisyFor: time.Hour},
		declared: model.Resources{MilliCPU: 250, MemoryMB: 512}, cpu: 0.8, memory: 1, run: 1}
	for _, w := range s.workers {
		t := s.newTask(orders, true, false)
		if s.policy.even {
			s.begin(t, s.request(t), w.id)
			continue
		}
		s.placeFixed(t)
	}
	for range s.site.watchers {
		s.placeFixed(s.newTask(watch, false, true))
	}
}

func (s *sim) run() outcome {
	for s.now.Sub(s.start) < simLength {
		s.now = s.now.Add(time.Second)
		s.submit()
		s.placeQueue()
		for i, w := range s.workers {
			s.stepWorker(w)
			if (int(s.now.Unix())+i)%int(reportEvery/time.Second) == 0 {
				s.measure(w)
			}
		}
		s.deliver()
	}
	o := s.out
	o.p50 = float64(s.slowdowns.ValueAtQuantile(50)) / 1000
	o.p99 = float64(s.slowdowns.ValueAtQuantile(99)) / 1000
	o.p999 = float64(s.slowdowns.ValueAtQuantile(99.9)) / 1000
	o.finishedPerHour = float64(s.finished) / (simLength - warmUp).Hours()
	o.evictionsPer1000 = 1000 * float64(o.evictions) / float64(max(1, s.finished))
	return o
}
