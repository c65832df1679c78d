package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/model"
)

// chooser is a placement method to compare.
type chooser func(s *Snapshot, r *Request) (model.WorkerID, bool)

func chooseFirstFit(s *Snapshot, r *Request) (model.WorkerID, bool) {
	for _, w := range s.workers {
		if w.eligible() && r.Size.Fits(w.Free) {
			return w.VM.ID, true
		}
	}
	return "", false
}

func chooseRandom(rnd *rand.Rand) chooser {
	return func(s *Snapshot, r *Request) (model.WorkerID, bool) {
		start := rnd.IntN(len(s.workers))
		for i := range s.workers {
			w := s.workers[(start+i)%len(s.workers)]
			if w.eligible() && r.Size.Fits(w.Free) {
				return w.VM.ID, true
			}
		}
		return "", false
	}
}

func choosePlacer(p *Placer) chooser {
	return func(s *Snapshot, r *Request) (model.WorkerID, bool) {
		d, err := p.Place(s, r)
		return d.Worker, err == nil
	}
}

const (
	benchClasses   = 12
	benchWorkloads = 120
)

// benchSnapshot returns a fleet of n workers in which the given share of the
// processors is committed and a third of the workers have accelerators. It also
// returns the tasks in the order of their placement, and their workers.
func benchSnapshot(n int, share float64) (*Snapshot, []*Request, []model.WorkerID) {
	rnd := rand.New(rand.NewPCG(5, uint64(n)))
	workers := fleet(n, 8, 8, big)
	for i := range workers {
		workers[i].Load = rnd.Float64()
		if i%3 == 0 {
			workers[i].VM.Capacity.Accelerators = 4
			workers[i].Free.Accelerators = 4
		}
	}
	s := NewSnapshot(workers, interference.New(interference.DefaultOptions()))
	var tasks []*Request
	var where []model.WorkerID
	choose := chooseRandom(rnd)
	for used := int64(0); float64(used) < share*float64(n)*float64(big.MilliCPU); {
		r := benchRequest(rnd, uint32(len(tasks)))
		id, ok := choose(s, r)
		if !ok {
			continue
		}
		s.Assume(r, id)
		tasks, where = append(tasks, r), append(where, id)
		used += r.Size.MilliCPU
	}
	return s, tasks, where
}

func benchRequest(rnd *rand.Rand, index uint32) *Request {
	workload := rnd.IntN(benchWorkloads)
	r := batch(index, res(250+rnd.Int64N(2500), 500+rnd.Int64N(8000), 0))
	r.Workload = fmt.Sprintf("workload-%d", workload)
	r.Class = fmt.Sprintf("class-%d", workload%benchClasses)
	r.Key.Workload = r.Workload
	if workload%10 == 0 {
		r.Size.Accelerators = 1
	}
	if workload%5 == 1 {
		r.Service, r.Spread, r.Instances = true, SpreadZone, 400
	}
	return r
}

// benchmarkChooser releases the oldest task and places a new one, b.N times.
func benchmarkChooser(b *testing.B, n int, share float64, choose chooser) {
	s, tasks, where := benchSnapshot(n, share)
	rnd := rand.New(rand.NewPCG(9, 9))
	next := make([]*Request, 4096)
	for i := range next {
		next[i] = benchRequest(rnd, 0)
	}
	refused := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		at := i % len(tasks)
		if tasks[at] != nil {
			s.Release(tasks[at].Key, where[at])
		}
		r := *next[i%len(next)]
		r.Key.Index = uint32(1_000_000 + i)
		id, ok := choose(s, &r)
		if !ok {
			refused++
			tasks[at] = nil
			continue
		}
		s.Assume(&r, id)
		tasks[at], where[at] = &r, id
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "placements/s")
	b.ReportMetric(100*float64(refused)/float64(b.N), "%refused")
}

// BenchmarkPlace measures the placement of one task and the release of an older
// one, for several fleet sizes, and compares the placer with simpler methods.
func BenchmarkPlace(b *testing.B) {
	for _, share := range []float64{0.6, 0.85} {
		for _, n := range []int{50, 400, 3500} {
			choosers := map[string]chooser{
				"default":   choosePlacer(Default(Options{Random: rand.NewPCG(1, 2)})),
				"first fit": chooseFirstFit,
				"random":    chooseRandom(rand.New(rand.NewPCG(1, 2))),
			}
			for _, name := range []string{"default", "first fit", "random"} {
				b.Run(fmt.Sprintf("%s/full=%.0f%%/workers=%d", name, 100*share, n), func(b *testing.B) {
					benchmarkChooser(b, n, share, choosers[name])
				})
			}
		}
	}
}
