package interference

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

func pairsOptions() PairsOptions {
	return PairsOptions{
		PriorMean: 0.1, PriorStd: 1, NoiseStd: 0.15, NoiseRatio: 0.3, MostExcess: 3,
		Drift: 2 * time.Minute, Retain: 3 * time.Second,
	}
}

// crowded plays workers with eight neighbours of nine classes each, of which
// two disturb, and feeds the measurements to observe.
func crowded(seed uint64, rounds int, start func(time.Time, model.WorkerID, model.TaskKey, string),
	stop func(time.Time, model.WorkerID, model.TaskKey), observe func(time.Time, Observation)) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	truth := map[string]float64{"b2": 1.5, "b5": 0.8}
	now := time.UnixMilli(1_700_000_000_000)
	serial := uint64(0)
	for range rounds {
		for w := range 20 {
			id := model.WorkerID(fmt.Sprint("w", w))
			victim := model.TaskKey{Workload: "v", Generation: uint64(w)}
			excess := 0.0
			var keys []model.TaskKey
			for range 8 {
				class := fmt.Sprint("b", rnd.IntN(9))
				serial++
				key := model.TaskKey{Workload: class, Generation: serial}
				keys = append(keys, key)
				start(now, id, key, class)
				excess += truth[class]
			}
			measured := (1 + min(excess, 3)) * (1 + 0.1*rnd.NormFloat64())
			at := now.Add(500 * time.Millisecond)
			observe(at, Observation{
				Worker: id, Victim: victim, Class: "v", MeasuredAt: at.Add(-250 * time.Millisecond), Slowdown: measured,
			})
			for _, key := range keys {
				stop(at, id, key)
			}
		}
		now = now.Add(time.Second)
	}
}

// TestPairsFindThoseWhoDisturbInACrowd
//
// Symptom: harmless work was kept away and throttled, and work that disturbs was
// let go. Cause: the learner kept only variances, and could not split what
// several neighbours of different classes did together.
func TestPairsFindThoseWhoDisturbInACrowd(t *testing.T) {
	p := NewPairs(pairsOptions())
	crowded(1, 15, p.Started, p.Stopped, func(now time.Time, o Observation) {
		p.Observe(now, o, func(string) bool { return true })
	})
	for i := range 9 {
		class := fmt.Sprint("b", i)
		e := p.Predict("v", class)
		if harmful := class == "b2" || class == "b5"; harmful != (e.Mean > 0.35) {
			t.Errorf("%s: effect %.2f ~ %.2f", class, e.Mean, e.Std)
		}
	}
}

func TestPairsAreTakenOver(t *testing.T) {
	p := NewPairs(pairsOptions())
	crowded(2, 15, p.Started, p.Stopped, func(now time.Time, o Observation) {
		p.Observe(now, o, func(string) bool { return true })
	})
	q := NewPairs(pairsOptions())
	q.Import(time.UnixMilli(0), p.Export())
	for i := range 9 {
		class := fmt.Sprint("b", i)
		if a, b := p.Predict("v", class), q.Predict("v", class); a.Mean != b.Mean || b.Std < a.Std {
			t.Errorf("%s: %v became %v", class, a, b)
		}
	}
	if e := q.Predict("other", "b1"); e.Mean != pairsOptions().PriorMean {
		t.Errorf("an unknown victim has effect %v", e)
	}
}
