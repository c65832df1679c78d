package eviction

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/model"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

// effects is a Predictor that returns an effect by aggressor class, without
// uncertainty.
type effects map[string]float64

func (e effects) PredictWorkload(_, aggressor, _ string, _ float64) interference.Estimate {
	return interference.Estimate{Mean: e[aggressor]}
}

func (e effects) PredictTask(victim, aggressor string, _ model.TaskKey, load float64) interference.Estimate {
	return e.PredictWorkload(victim, aggressor, "", load)
}

var known = effects{"noisy": 0.35, "quiet": 0.01, "watch": 0.35}

func task(class string, index uint32) Task {
	return Task{
		Key:     model.TaskKey{Workload: class, Generation: 1, Index: index},
		Class:   class,
		Size:    model.Resources{MilliCPU: 2000, MemoryMB: 2000},
		Percent: FullSpeed,
		SavedAt: epoch,
	}
}

func view(measured time.Time, slowdown float64, tasks ...Task) WorkerView {
	return WorkerView{
		Worker:   "w",
		Services: []Service{{Class: "orders", Slowdown: slowdown, MeasuredAt: measured}},
		Batch:    tasks,
	}
}

// runController passes a view to a controller every three seconds. The slowdown
// function gives the slowdown at a second for the tasks and their throttles. It
// returns the actions and their times in seconds.
func runController(c *Controller, tasks []Task, seconds int, slowdown func(s int, tasks []Task) float64) (actions []Action, times []int) {
	for s := 0; s < seconds; s += 3 {
		v := view(at(s-10), slowdown(s-10, tasks), tasks...)
		for _, a := range c.Decide(at(s), v) {
			actions, times = append(actions, a), append(times, s)
			tasks = apply(tasks, a, at(s))
		}
	}
	return actions, times
}

func apply(tasks []Task, a Action, now time.Time) []Task {
	var left []Task
	for _, t := range tasks {
		if t.Key == a.Task && a.Kind == Evict {
			continue
		}
		if t.Key == a.Task {
			t.Percent, t.ThrottledAt = a.Percent, now
		}
		left = append(left, t)
	}
	return left
}

func constant(slowdown float64) func(int, []Task) float64 {
	return func(int, []Task) float64 { return slowdown }
}

// A single measurement over the limit may be noise.
func TestOneMeasurementIsNotEnoughUnlessSevere(t *testing.T) {
	c := NewController(DefaultOptions(), known)
	if got := c.Decide(at(10), view(at(0), 1.6, task("noisy", 1))); len(got) != 0 {
		t.Errorf("after one: %v", got)
	}
	if got := c.Decide(at(11), view(at(0), 1.6, task("noisy", 1))); len(got) != 0 {
		t.Errorf("after the same one again: %v", got)
	}
	if got := c.Decide(at(13), view(at(3), 1.6, task("noisy", 1))); len(got) != 1 || got[0].Kind != Throttle {
		t.Errorf("after two: %v", got)
	}
	c = NewController(DefaultOptions(), known)
	if got := c.Decide(at(10), view(at(0), 3, task("noisy", 1))); len(got) != 1 || got[0].Percent != DefaultOptions().MinPercent {
		t.Errorf("after a severe one: %v", got)
	}
}

// Guards against several tasks being throttled for the slowdown that one causes.
// After a throttle, delayed reports still show measurements from before it;
// these must not lead to an action.
func TestMeasurementsBeforeTheLastActionAreIgnored(t *testing.T) {
	c := NewController(DefaultOptions(), known)
	tasks := []Task{task("noisy", 1), task("noisy", 2), task("noisy", 3)}
	got := c.Decide(at(20), view(at(10), 2.5, tasks...))
	if len(got) != 1 || got[0].Kind != Throttle {
		t.Fatalf("got %v", got)
	}
	tasks = apply(tasks, got[0], at(20))
	for measured := 13; measured <= 22; measured += 3 {
		if got := c.Decide(at(measured+30), view(at(measured), 2.5, tasks...)); len(got) != 0 {
			t.Errorf("on a measurement of %ds: %v", measured, got)
		}
	}
	if got := c.Decide(at(60), view(at(25), 2.5, tasks...)); len(got) != 1 {
		t.Error("no action on a measurement from after the throttle")
	}
}

func TestAtMostOneActionPerReportLag(t *testing.T) {
	c := NewController(DefaultOptions(), known)
	tasks := []Task{task("noisy", 1), task("noisy", 2), task("noisy", 3)}
	last, actions := -100, 0
	for s := range 120 {
		for _, a := range c.Decide(at(s), view(at(s), 3, tasks...)) {
			if s-last < 10 {
				t.Errorf("actions at %ds and %ds", last, s)
			}
			last = s
			actions++
			tasks = apply(tasks, a, at(s))
		}
	}
	if actions < 3 {
		t.Errorf("only %d actions", actions)
	}
}

// Guards against an eviction, which loses work, where a throttle is sufficient.
func TestThrottleComesBeforeEviction(t *testing.T) {
	c := NewController(DefaultOptions(), effects{"noisy": 0.39, "quiet": 0.01})
	actions, times := runController(c, []Task{task("noisy", 1), task("quiet", 1)}, 300, constant(1.7))
	if len(actions) < 3 || actions[len(actions)-1].Kind != Evict || actions[0].Kind != Throttle || actions[0].Task.Workload != "noisy" {
		t.Fatalf("got %v", actions)
	}
	for i, a := range actions {
		if a.Kind == Evict && times[i]+10 < 60 {
			t.Errorf("evicted after %ds", times[i])
		}
		if a.Task.Workload == "quiet" {
			t.Errorf("the quiet task was acted on: %v", a)
		}
	}
}

// Guards against route watchers being evicted while other tasks could be
// evicted instead.
func TestRouteWatchersAreEvictedLast(t *testing.T) {
	o := DefaultOptions()
	o.EvictionDelay = 0
	watcher := task("watch", 1)
	watcher.LongRunning, watcher.Percent = true, o.MinPercent
	plain := task("watched", 2)
	plain.Percent = o.MinPercent
	c := NewController(o, effects{"watched": 2, "watch": 2})
	actions, _ := runController(c, []Task{watcher, plain}, 30, constant(3))
	if len(actions) == 0 || actions[0].Kind != Evict || actions[0].Task != plain.Key {
		t.Errorf("got %v", actions)
	}
}

// Guards against the same task being evicted repeatedly and losing its progress
// each time.
func TestEvictionCost(t *testing.T) {
	c := DefaultCosts()
	fresh, old, again, safe := task("a", 1), task("a", 2), task("a", 3), task("a", 4)
	old.SavedAt = at(-600)
	again.Evictions = 2
	safe.SavedAt, safe.CanCheckpoint = at(-600), true
	base := c.EvictionCost(at(0), &fresh)
	if c.EvictionCost(at(0), &old) <= base || c.EvictionCost(at(0), &again) <= base || c.EvictionCost(at(0), &safe) >= c.EvictionCost(at(0), &old) {
		t.Errorf("fresh %v, unsaved %v, evicted before %v, saved when stopped %v",
			base, c.EvictionCost(at(0), &old), c.EvictionCost(at(0), &again), c.EvictionCost(at(0), &safe))
	}
}

// Guards against a task with periodic noisy phases being throttled and
// unthrottled once per report lag forever, and slowing its service each time.
// The required calm period must grow.
func TestCalmPeriodGrowsWhenUnthrottledTooEarly(t *testing.T) {
	c := NewController(DefaultOptions(), known)
	slowdown := func(_ int, tasks []Task) float64 {
		if tasks[0].Percent == FullSpeed {
			return 1.7
		}
		return 1.1
	}
	actions, times := runController(c, []Task{task("noisy", 1)}, 1800, slowdown)
	var unthrottled []int
	for i, a := range actions {
		if a.Kind == Unthrottle {
			unthrottled = append(unthrottled, times[i])
		}
	}
	if len(unthrottled) < 3 {
		t.Fatalf("unthrottled only %d times: %v", len(unthrottled), actions)
	}
	first, last := unthrottled[1]-unthrottled[0], unthrottled[len(unthrottled)-1]-unthrottled[len(unthrottled)-2]
	if last < 3*first {
		t.Errorf("first wait %ds, last %ds", first, last)
	}
}

// Unthrottling goes step by step, and not above the ceiling.
func TestUnthrottleIsGradualAndBounded(t *testing.T) {
	o := DefaultOptions()
	quiet, noisy := task("quiet", 1), task("huge", 2)
	quiet.Percent, noisy.Percent = o.MinPercent, o.MinPercent
	c := NewController(o, effects{"quiet": 0.01, "huge": 0.7})
	actions, _ := runController(c, []Task{quiet, noisy}, 600, constant(1.05))
	want := []uint32{o.MiddlePercent, o.MiddlePercent, FullSpeed}
	if len(actions) != len(want) {
		t.Fatalf("got %v", actions)
	}
	for i, a := range actions {
		if a.Kind != Unthrottle || a.Percent != want[i] {
			t.Errorf("action %d: %v", i, a)
		}
	}
	if actions[2].Task != quiet.Key {
		t.Errorf("the task at its ceiling was unthrottled: %v", actions[2])
	}
}

// A throttled task has a smaller committed size. It is unthrottled only if the
// worker has room for the difference.
func TestUnthrottleNeedsRoomForTheFullSize(t *testing.T) {
	o := DefaultOptions()
	throttled := task("quiet", 1)
	throttled.FullSize = throttled.Size
	throttled.Percent = o.MinPercent
	throttled.Size = ThrottledSize(throttled.FullSize, o.MinPercent)
	for _, c := range []struct {
		free int64
		want int
	}{{0, 0}, {600, 1}} {
		controller := NewController(o, known)
		acted := 0
		for s := 0; s < 35; s += 3 {
			v := view(at(s-10), 1, throttled)
			v.Free.MilliCPU = c.free
			acted += len(controller.Decide(at(s), v))
		}
		if acted != c.want {
			t.Errorf("free %d: %d actions, want %d", c.free, acted, c.want)
		}
	}
}

// A task that could slow a service far beyond its limit starts throttled.
func TestStartPercent(t *testing.T) {
	p := effects{"small": 0.1, "large": 0.6, "huge": 3}
	for class, want := range map[string]uint32{"small": FullSpeed, "large": 50, "huge": 20} {
		if got := StartPercent(view(at(0), 1), task(class, 1), DefaultOptions(), p); got != want {
			t.Errorf("%s starts at %d, want %d", class, got, want)
		}
	}
	if got := StartPercent(WorkerView{}, task("huge", 1), DefaultOptions(), p); got != FullSpeed {
		t.Errorf("without services: %d", got)
	}
}

// Guards against the kernel killing a task because another task on the worker
// needs more memory than is committed for it, and against an eviction when only
// processors are short.
func TestShortage(t *testing.T) {
	small, large := task("quiet", 1), task("noisy", 2)
	small.Size.MemoryMB = 500
	v := view(at(0), 1, small, large)
	v.Shortages = []Shortage{{Task: small.Key, Missing: model.Resources{MemoryMB: 1000}}}
	got := NewController(DefaultOptions(), known).Decide(at(5), v)
	if len(got) != 1 || got[0].Kind != Evict || got[0].Task != large.Key || got[0].Reason != MemoryShort {
		t.Errorf("memory: %v", got)
	}
	v.Batch[1].Stopping = true
	if got := NewController(DefaultOptions(), known).Decide(at(5), v); len(got) != 0 {
		t.Errorf("memory that a stopping task frees: %v", got)
	}
	v.Shortages[0].Missing = model.Resources{MilliCPU: 1000}
	v.Load = 1
	got = NewController(DefaultOptions(), known).Decide(at(5), v)
	if len(got) != 1 || got[0].Kind != Throttle || got[0].Task != small.Key {
		t.Errorf("processors: %v", got)
	}
}

// Any series of measurements leads to at most one action per report lag, and the
// order of the tasks in the view does not matter.
func TestDecideIsBoundedAndDeterministic(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20261202)
	params.MinSuccessfulTests = 100
	properties := gopter.NewProperties(params)
	properties.Property("bounded and deterministic", prop.ForAll(
		func(slowdowns []float64) bool {
			a, b := NewController(DefaultOptions(), known), NewController(DefaultOptions(), known)
			tasks := []Task{task("noisy", 1), task("noisy", 2), task("quiet", 3), task("watch", 4)}
			last := -100
			for i, slowdown := range slowdowns {
				now := 3 * i
				reversed := []Task{}
				for _, t := range tasks {
					reversed = append([]Task{t}, reversed...)
				}
				got := a.Decide(at(now), view(at(now-10), slowdown, tasks...))
				other := b.Decide(at(now), view(at(now-10), slowdown, reversed...))
				if len(got) != len(other) || len(got) > 1 {
					return false
				}
				if len(got) == 0 {
					continue
				}
				if got[0] != other[0] || now-last < 10 {
					return false
				}
				last = now
				tasks = apply(tasks, got[0], at(now))
			}
			return true
		}, gen.SliceOfN(120, gen.Float64Range(1, 3))))
	properties.TestingRun(t)
}
