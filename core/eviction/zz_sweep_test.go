package eviction_test

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

var _ = time.Second

type variant struct {
	name string
	set  func(s *settings)
}

func TestSweep(t *testing.T) {
	if os.Getenv("SWEEP") == "" {
		t.Skip()
	}
	variants := sweepVariants()
	type job struct{ v, s int }
	sts := sites()
	res := make([][]outcome, len(variants))
	var wg sync.WaitGroup
	sem := make(chan struct{}, 5)
	for v := range variants {
		res[v] = make([]outcome, len(sts))
		for s := range sts {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sem <- struct{}{}
				defer func() { <-sem }()
				set := defaultSettings()
				variants[v].set(&set)
				ps := policies()
				res[v][s] = newSim(sts[s], batchClasses(), ps[len(ps)-1], set, 1).run()
			}()
		}
	}
	wg.Wait()
	for v := range variants {
		for s := range sts {
			o := res[v][s]
			fmt.Printf("%-28s %-7s p50 %.2f p99 %.3f p999 %.3f fin/h %.0f ev/1000 %.1f watch %d kills %d thr %d wait %.0f\n", variants[v].name, sts[s].name, o.p50, o.p99, o.p999, o.finishedPerHour, o.evictionsPer1000, o.watcherEvictions, o.kills, o.throttl, o.waitSeconds)
		}
	}
}

func sweepVariants() []variant {
	return []variant{
		{"base", func(s *settings) {}},
		{"confirm1", func(s *settings) { s.eviction.Confirm = 1 }},
		{"confirm1 max60", func(s *settings) { s.eviction.Confirm = 1; s.eviction.MaxCalmFor = time.Minute }},
		{"limit 1.3", func(s *settings) { s.eviction.Limit = 1.3 }},
		{"decay 2m", func(s *settings) { s.model.LoudnessDecay = 2 * time.Minute }},
		{"noise .2", func(s *settings) { s.model.NoiseRatio = .2 }},
	}
}
