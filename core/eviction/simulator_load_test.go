package eviction_test

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/interference"
)

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
