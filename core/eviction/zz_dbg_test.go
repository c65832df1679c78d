package eviction_test

import (
	"fmt"
	"os"
	"sort"
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	if os.Getenv("SWEEP") == "" {
		t.Skip()
	}
	for _, st := range sites() {
		ps := policies()
		s := newSim(st, batchClasses(), ps[len(ps)-1], defaultSettings(), 1)
		cause := map[string]float64{}
		bad := 0
		since := map[int]int{}
		n := map[string]int{}
		occ := map[string]int{}
		s.probe = func(w *simWorker, v *simTask) {
			if int(s.now.Unix())%100 == 0 {
				for _, t := range w.tasks {
					occ["svc/"+t.workload.class.name]++
				}
			}
			if v.slowdown < 1.7 {
				return
			}
			bad++
			var top *simTask
			best := 0.0
			for _, t := range w.tasks {
				if t.service {
					continue
				}
				e := t.workload.class.quiet
				if t.loud {
					e = t.workload.class.loud
				}
				e *= float64(t.used.MilliCPU) / 2000 * float64(t.percent) / 100
				cause[t.workload.class.name] += e
				if e > best {
					best, top = e, t
				}
			}
			cause["crowd"] += w.load - 1
			if top != nil {
				d := int(s.now.Sub(top.louds).Seconds())
				since[d/5*5]++
				n[fmt.Sprintf("%s loud %v percent %d", top.workload.name, top.loud, top.percent)]++
			}
		}
		s.run()
		fmt.Println(st.name, "bad", bad, "of", 50*int((simLength-warmUp)/time.Second), cause, occ)
		fmt.Println("since loud", since)
		var ks []string
		for k := range n {
			ks = append(ks, k)
		}
		sort.Slice(ks, func(i, j int) bool { return n[ks[i]] > n[ks[j]] })
		for _, k := range ks[:min(15, len(ks))] {
			fmt.Println("   ", k, n[k])
		}
	}
}
