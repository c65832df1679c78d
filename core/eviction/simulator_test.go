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

// This file is the simulator of the policy benchmarks. It simulates one site in
// steps of a second. Tasks slow services in noisy phases, declared sizes and run
// times are wrong, and reports arrive ten seconds late.

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

// report is a measurement of one worker that is in flight.
type report struct {
	worker *simWorker
	at     time.Time
	load   float64
	tasks  []measurement
}

type measurement struct {
	task     *simTask
	slowdown float64
	usage    interference.Usage
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

func (s *sim) placeFixed(t *simTask) {
	r := s.request(t)
	d, err := s.placer.Place(s.snapshot, r)
	if err != nil {
		panic(err)
	}
	s.begin(t, r, d.Worker)
}

func (s *sim) newTask(w *workload, service, long bool) *simTask {
	s.index++
	vary := func(x float64) float64 { return x * math.Exp(0.15*s.rnd.NormFloat64()) }
	t := &simTask{
		key: model.TaskKey{Workload: w.name, Generation: 1, Index: s.index}, workload: w,
		service: service, long: long, percent: eviction.FullSpeed, slowdown: 1,
	}
	t.used.MilliCPU = int64(vary(w.cpu) * float64(w.declared.MilliCPU))
	t.used.MemoryMB = int64(vary(w.memory) * float64(w.declared.MemoryMB))
	t.total = vary(w.run) * w.class.run.Seconds()
	if service || long {
		t.total = math.Inf(1)
	}
	return t
}

func (s *sim) request(t *simTask) *placement.Request {
	size := t.workload.declared
	if s.policy.learn {
		size = s.sizes.CommitSize(t.workload.name, size)
	}
	r := &placement.Request{
		Key: t.key, Workload: t.workload.name, Class: t.workload.class.name, Service: t.service,
		Size: size, LastWorker: t.last, Evictions: t.evictions,
	}
	if t.service {
		r.Spread, r.Instances = placement.SpreadZone, s.site.workers
	}
	return r
}

func (s *sim) begin(t *simTask, r *placement.Request, id model.WorkerID) {
	if !s.snapshot.Assume(r, id) {
		panic("placed without room")
	}
	w := s.byID[id]
	t.worker, t.held, t.full, t.percent, t.done = w, r.Size, r.Size, eviction.FullSpeed, t.saved
	t.savedAt, t.throttledAt = s.now, s.now
	w.tasks = append(w.tasks, t)
	s.model.TaskStarted(s.now, id, t.key, r.Class)
	if s.policy.start != nil && !t.service {
		if percent := s.policy.start(s, t); percent < t.percent {
			s.throttle(t, percent)
		}
	}
	s.out.starts++
}

// end removes a task from its worker.
func (s *sim) end(t *simTask) {
	w := t.worker
	for i := range w.tasks {
		if w.tasks[i] == t {
			w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
			break
		}
	}
	s.snapshot.Release(t.key, w.id)
	s.model.TaskStopped(s.now, w.id, t.key)
	t.worker, t.last = nil, w.id
}

const (
	restartCost     = 20 * time.Second
	checkpointEvery = 5 * time.Minute
)

// evict stops a task. One time in ten its checkpoint fails, and the work since
// the previous checkpoint is lost.
func (s *sim) evict(t *simTask) {
	if s.rnd.Float64() >= 0.1 {
		t.saved = t.done
	}
	s.out.lostSeconds += t.done - t.saved
	s.requeue(t)
	t.evictions++
	if s.now.Sub(s.start) >= warmUp {
		s.out.evictions++
		if t.long {
			s.out.watcherEvictions++
		}
	}
}

func (s *sim) requeue(t *simTask) {
	s.end(t)
	t.notBefore = s.now.Add(restartCost)
	s.queue = append(s.queue, t)
}

func (s *sim) throttle(t *simTask, percent uint32) {
	if s.policy.shrink && !s.resize(t, eviction.ThrottledSize(t.full, percent)) {
		return
	}
	t.percent, t.throttledAt = percent, s.now
	s.model.TaskThrottled(s.now, t.worker.id, t.key, float64(percent)/eviction.FullSpeed)
	s.out.throttles++
}

func (s *sim) resize(t *simTask, size model.Resources) bool {
	if !s.snapshot.Resize(t.key, t.worker.id, size) {
		return false
	}
	t.held = size
	return true
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

const (
	burstEvery  = 8 * time.Minute
	burstLength = 40 * time.Second
)

// submit adds batch tasks to the queue at a constant rate. The tasks of classes
// with bursts are all submitted in the first part of each burst period.
func (s *sim) submit() {
	inBurst := s.now.Sub(s.start)%burstEvery < burstLength
	for _, w := range s.workloads {
		rate := s.site.starts * w.class.share / workloadsPerClass
		if w.class.burst {
			rate *= float64(burstEvery) / float64(burstLength)
			if !inBurst {
				rate = 0
			}
		}
		for ; rate > 0; rate-- {
			if s.rnd.Float64() < rate {
				s.queue = append(s.queue, s.newTask(w, false, false))
			}
		}
	}
}

func (s *sim) placeQueue() {
	waiting := s.queue[:0]
	for _, t := range s.queue {
		if s.now.Before(t.notBefore) {
			waiting = append(waiting, t)
			continue
		}
		r := s.request(t)
		id, ok := s.policy.place(s, r)
		if !ok {
			waiting = append(waiting, t)
			continue
		}
		s.begin(t, r, id)
	}
	s.queue = waiting
}

// serviceLoad returns the load of the service, which varies between 0.3 and 0.9
// with a period of twenty minutes.
func (s *sim) serviceLoad() float64 {
	phase := s.now.Sub(s.start).Minutes() / 20 * 2 * math.Pi
	return 0.6 + 0.3*math.Sin(phase)
}

func (s *sim) stepWorker(w *simWorker) {
	capacity := s.site.capacity
	var cpu, memory int64
	for _, t := range w.tasks {
		s.switchPhase(t)
		cpu += s.cpuOf(t)
		memory += t.used.MemoryMB
	}
	w.load = float64(cpu) / float64(capacity.MilliCPU)
	crowd := math.Max(1, w.load)
	for _, t := range w.tasks {
		t.slowdown = crowd + s.excess(w, t)
		if t.service && s.now.Sub(s.start) >= warmUp {
			_ = s.slowdowns.RecordValue(int64(t.slowdown * 1000))
		}
	}
	if memory > capacity.MemoryMB {
		s.kill(w)
	}
	s.advance(w)
}

func (s *sim) cpuOf(t *simTask) int64 {
	if t.service {
		return int64(float64(t.used.MilliCPU) * s.serviceLoad())
	}
	return t.used.MilliCPU * int64(t.percent) / eviction.FullSpeed
}

// excess returns the slowdown that the other tasks on a worker add to a task.
func (s *sim) excess(w *simWorker, victim *simTask) float64 {
	sum := 0.0
	for _, t := range w.tasks {
		if t == victim || t.service {
			continue
		}
		effect := t.workload.class.quiet
		if t.noisy {
			effect = t.workload.class.noisy
		}
		sum += effect * float64(t.used.MilliCPU) / 2000 * float64(t.percent) / eviction.FullSpeed
	}
	sum *= 16000 / float64(s.site.capacity.MilliCPU)
	if victim.service {
		return sum * (0.4 + s.serviceLoad())
	}
	return sum * 0.3
}

// switchPhase switches a batch task between its noisy and quiet phases when the
// current phase has ended.
func (s *sim) switchPhase(t *simTask) {
	c := t.workload.class
	if t.service || s.now.Before(t.phaseEnds) {
		return
	}
	if t.phaseEnds.IsZero() {
		t.noisy = s.rnd.Float64() < float64(c.noisyFor)/float64(c.noisyFor+c.quietFor)
	} else {
		t.noisy = !t.noisy
	}
	mean := c.quietFor
	if t.noisy {
		mean = c.noisyFor
	}
	t.phaseEnds = s.now.Add(time.Duration(float64(mean) * (0.5 + s.rnd.Float64())))
}

// kill simulates the kernel when a worker is out of memory: the largest batch
// task is killed and loses the work since its last checkpoint.
func (s *sim) kill(w *simWorker) {
	var largest *simTask
	for _, t := range w.tasks {
		if !t.service && (largest == nil || t.used.MemoryMB > largest.used.MemoryMB) {
			largest = t
		}
	}
	if largest == nil {
		return
	}
	s.out.kills++
	s.out.lostSeconds += largest.done - largest.saved
	s.requeue(largest)
}

func (s *sim) advance(w *simWorker) {
	var over []*simTask
	for _, t := range w.tasks {
		t.done += float64(t.percent) / eviction.FullSpeed / t.slowdown
		if s.now.Sub(t.savedAt) >= checkpointEvery {
			t.saved, t.savedAt = t.done, s.now
		}
		if t.done >= t.total {
			over = append(over, t)
		}
	}
	for _, t := range over {
		s.end(t)
		s.sizes.TaskEnded(t.key)
		if s.now.Sub(s.start) >= warmUp {
			s.finished++
		}
	}
}

func (s *sim) measure(w *simWorker) {
	r := report{worker: w, at: s.now, load: math.Min(1, w.load)}
	for _, t := range w.tasks {
		noise := math.Exp(0.05 * s.rnd.NormFloat64())
		r.tasks = append(r.tasks, measurement{t, t.slowdown * noise, interference.Usage{
			MilliCPU: s.cpuOf(t), MemoryMB: t.used.MemoryMB,
		}})
	}
	s.inFlight = append(s.inFlight, r)
}

// deliver processes the reports that are ten seconds old.
func (s *sim) deliver() {
	for len(s.inFlight) > 0 && s.now.Sub(s.inFlight[0].at) >= reportLag {
		r := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		w := r.worker
		clear(w.latest)
		s.snapshot.SetLoad(w.id, r.load)
		for _, m := range r.tasks {
			t := m.task
			s.sizes.Observe(s.now, t.key, t.workload.declared, m.usage)
			s.model.Observe(s.now, interference.Observation{
				Worker: w.id, Victim: t.key, Class: t.workload.class.name,
				MeasuredAt: r.at, Slowdown: m.slowdown, Load: r.load,
			})
			if t.service {
				w.latest[t.key] = eviction.Service{Key: t.key, Class: t.workload.class.name, Slowdown: m.slowdown, MeasuredAt: r.at}
			}
		}
		if s.policy.control != nil {
			s.policy.control(s, w)
		}
	}
}
