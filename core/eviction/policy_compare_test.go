package eviction_test

import (
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/placement"
)

// sites returns the users' fleets. The submission rate keeps about two thirds of
// the processors that the services do not use busy.
func sites() []site {
	return []site{
		{
			name: "agency", zones: 3, workers: 50, perRack: 8, watchers: 150,
			capacity: model.Resources{MilliCPU: 16000, MemoryMB: 60000},
			instance: model.Resources{MilliCPU: 4000, MemoryMB: 8000}, starts: 0.6,
		},
		{
			name: "pindan", zones: 4, workers: 50, perRack: 6, watchers: 0,
			capacity: model.Resources{MilliCPU: 32000, MemoryMB: 125000},
			instance: model.Resources{MilliCPU: 8000, MemoryMB: 16000}, starts: 1.3,
		},
	}
}

func batchClasses() []class {
	return []class{
		{name: "reconcile", share: 0.45, size: model.Resources{MilliCPU: 1000, MemoryMB: 1500}, run: 4 * time.Minute,
			quiet: 0.01, noisy: 0.03, quietFor: 2 * time.Minute, noisyFor: time.Minute},
		{name: "report", share: 0.30, size: model.Resources{MilliCPU: 2000, MemoryMB: 3000}, run: 5 * time.Minute,
			quiet: 0.03, noisy: 0.10, quietFor: 3 * time.Minute, noisyFor: time.Minute},
		{name: "rebuild", share: 0.15, size: model.Resources{MilliCPU: 2000, MemoryMB: 4000}, run: 8 * time.Minute,
			quiet: 0.05, noisy: 0.6, quietFor: 4 * time.Minute, noisyFor: time.Minute},
		{name: "import", share: 0.10, size: model.Resources{MilliCPU: 2000, MemoryMB: 3000}, run: 3 * time.Minute,
			quiet: 0.1, noisy: 0.8, quietFor: time.Minute, noisyFor: time.Minute, burst: true},
	}
}

func firstFit(s *sim, r *placement.Request) (model.WorkerID, bool) {
	for _, w := range s.workers {
		if r.Size.Fits(w.room.Free) {
			return w.id, true
		}
	}
	return "", false
}

func randomFit(s *sim, r *placement.Request) (model.WorkerID, bool) {
	start := s.rnd.IntN(len(s.workers))
	for i := range s.workers {
		w := s.workers[(start+i)%len(s.workers)]
		if r.Size.Fits(w.room.Free) {
			return w.id, true
		}
	}
	return "", false
}

func placerFit(s *sim, r *placement.Request) (model.WorkerID, bool) {
	d, err := s.placer.Place(s.snapshot, r)
	return d.Worker, err == nil
}

// thresholdControl evicts the largest batch task whenever a report shows a
// service over the limit, without confirmation, report lag or throttling.
func thresholdControl(s *sim, w *simWorker) {
	for _, service := range w.latest {
		if service.Slowdown <= eviction.DefaultOptions().Limit {
			continue
		}
		var largest *simTask
		for _, t := range w.tasks {
			if !t.service && (largest == nil || t.used.MilliCPU > largest.used.MilliCPU) {
				largest = t
			}
		}
		if largest != nil {
			s.evict(largest)
		}
		return
	}
}

// productControl is the policy of this package.
func productControl(s *sim, w *simWorker) {
	view := s.view(w)
	byKey := map[model.TaskKey]*simTask{}
	for _, t := range w.tasks {
		byKey[t.key] = t
		s.grow(t, &view)
	}
	for _, a := range s.control.Decide(s.now, view) {
		t := byKey[a.Task]
		switch a.Kind {
		case eviction.Evict:
			s.evict(t)
		case eviction.Throttle, eviction.Unthrottle:
			s.throttle(t, a.Percent)
		}
	}
}

func (s *sim) view(w *simWorker) eviction.WorkerView {
	view := eviction.WorkerView{Worker: w.id, Load: w.room.Load, Free: w.room.Free}
	for _, t := range w.tasks {
		if !t.service {
			view.Batch = append(view.Batch, s.viewOf(t))
			continue
		}
		if latest, ok := w.latest[t.key]; ok {
			view.Services = append(view.Services, latest)
		}
	}
	return view
}

func (s *sim) viewOf(t *simTask) eviction.Task {
	v := eviction.Task{
		Key: t.key, Class: t.workload.class.name, Size: t.held, LongRunning: t.long, Percent: t.percent,
		ThrottledAt: t.throttledAt, SavedAt: t.savedAt, CanCheckpoint: true, Evictions: t.evictions,
	}
	if s.policy.shrink {
		v.FullSize = t.full
	}
	return v
}

func startPercent(s *sim, t *simTask) uint32 {
	return eviction.StartPercent(s.view(t.worker), s.viewOf(t), s.set.eviction, s.model)
}

// grow raises the committed size of a task to its learned need, as far as the
// worker has room.
func (s *sim) grow(t *simTask, view *eviction.WorkerView) {
	want := s.sizes.RunningSize(t.key, t.workload.declared, t.full)
	if want == t.full {
		return
	}
	target := want
	if s.policy.shrink {
		target = eviction.ThrottledSize(want, t.percent)
	}
	granted, missing := interference.SplitGrowth(t.held, target, t.worker.room.Free)
	s.resize(t, granted)
	if missing == (model.Resources{}) {
		t.full = want
		return
	}
	view.Shortages = append(view.Shortages, eviction.Shortage{Task: t.key, Service: t.service, Missing: missing})
}

// distinctPolicies is the number of policies before they are repeated with one
// instance on each worker.
const distinctPolicies = 7

// policies returns the policies to compare. Each is listed twice: with the
// instances where package placement puts them, and with one instance on each
// worker.
func policies() []policy {
	list := []policy{
		{name: "first fit", place: firstFit},
		{name: "random", place: randomFit},
		{name: "first fit+threshold", place: firstFit, control: thresholdControl},
		{name: "random+threshold", place: randomFit, control: thresholdControl},
		{name: "placement alone", place: placerFit, learn: true},
		{name: "guavarill", place: placerFit, learn: true, control: productControl, start: startPercent},
		{name: "guavarill+smaller holds", place: placerFit, learn: true, control: productControl, start: startPercent, shrink: true},
	}
	for _, p := range list[:distinctPolicies] {
		p.name, p.even = p.name+" (one a worker)", true
		list = append(list, p)
	}
	return list
}

// shortWaves returns the classes with noisy phases shorter than the report lag.
func shortWaves() []class {
	classes := batchClasses()
	for i := range classes {
		classes[i].noisyFor /= 8
		classes[i].quietFor /= 8
	}
	return classes
}

// overloaded raises the submission rate by half, which is more than the
// processors can run.
func overloaded(st site) site {
	st.starts *= 1.5
	return st
}

// BenchmarkPolicy compares the policies on the same submissions. Each iteration
// is a simulation with a seed of its own. The medians are reported.
func BenchmarkPolicy(b *testing.B) {
	for _, st := range sites() {
		for _, p := range policies() {
			b.Run(st.name+"/"+p.name, func(b *testing.B) { compare(b, st, batchClasses(), p) })
		}
	}
}

// BenchmarkPolicyWorse compares the policies under conditions that the policy of
// this package handles less well: short noisy phases, and overload.
func BenchmarkPolicyWorse(b *testing.B) {
	st := sites()[0]
	for _, p := range policies()[:distinctPolicies] {
		b.Run("short waves/"+p.name, func(b *testing.B) { compare(b, st, shortWaves(), p) })
		b.Run("busy/"+p.name, func(b *testing.B) { compare(b, overloaded(st), batchClasses(), p) })
	}
}

// BenchmarkPolicyStart measures the policy of this package without the throttle
// at the start of tasks.
func BenchmarkPolicyStart(b *testing.B) {
	p := policy{name: "full speed at start", place: placerFit, learn: true, control: productControl}
	for _, st := range sites() {
		b.Run(st.name+"/"+p.name, func(b *testing.B) { compare(b, st, batchClasses(), p) })
	}
}

// parallelRuns is the largest number of simulations that run at the same time.
const parallelRuns = 4

func compare(b *testing.B, st site, classes []class, p policy) {
	outcomes := make([]outcome, b.N)
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i := range outcomes {
		group.Go(func() error {
			outcomes[i] = newSim(st, classes, p, defaultSettings(), uint64(1+i)).run()
			return nil
		})
	}
	_ = group.Wait()
	median := func(unit string, of func(o outcome) float64) {
		values := make([]float64, len(outcomes))
		for i, o := range outcomes {
			values[i] = of(o)
		}
		slices.Sort(values)
		b.ReportMetric(values[len(values)/2], unit)
	}
	median("p50", func(o outcome) float64 { return o.p50 })
	median("p99", func(o outcome) float64 { return o.p99 })
	median("p99.9", func(o outcome) float64 { return o.p999 })
	median("finished/h", func(o outcome) float64 { return o.finishedPerHour })
	median("evictions/1000", func(o outcome) float64 { return o.evictionsPer1000 })
	median("watcher-evictions", func(o outcome) float64 { return float64(o.watcherEvictions) })
	median("kills", func(o outcome) float64 { return float64(o.kills) })
	median("throttles", func(o outcome) float64 { return float64(o.throttles) })
	median("lost-s", func(o outcome) float64 { return o.lostSeconds })
	b.ReportMetric(0, "ns/op")
}
