package shares

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/guavarill/guavarill/capacity/measure"
)

// BenchmarkCapacityDivide measures the division of one service's instances
// between all entries, for services of 13, 130 and 1,300 instances.
func BenchmarkCapacityDivide(b *testing.B) {
	for _, size := range []struct{ entries, targets int }{
		{8, 13}, {50, 13}, {150, 13}, {300, 13}, {300, 130}, {300, 1300},
	} {
		b.Run(fmt.Sprintf("%dx%d", size.entries, size.targets), func(b *testing.B) {
			entries, targets := makeEntries(size.entries, 8), makeTargets(size.targets, 8, 8)
			runs := 0
			begin := measure.Processor()
			for b.Loop() {
				Divide(entries, "entry-3", targets)
				runs++
			}
			spent := measure.Processor() - begin
			b.ReportMetric(float64(spent.Nanoseconds())/float64(runs), "cpu-ns/divide")
			b.ReportMetric(float64(spent.Nanoseconds())/float64(runs*size.targets), "cpu-ns/target")
		})
	}
}

// BenchmarkCapacityTracker measures the memory and the processor time that a
// tracker needs for shares that do not change.
func BenchmarkCapacityTracker(b *testing.B) {
	const targets = 1300
	desired := make([]Share, targets)
	for i, t := range makeTargets(targets, 8, 8) {
		desired[i] = Share{Address: t.Address, Slots: 1, Connections: 8}
	}
	now := time.Unix(1_800_000_000, 0)
	before := measure.Heap()
	tracker := NewTracker(3 * time.Second)
	for range 6 {
		now = now.Add(time.Second)
		tracker.Step(now, desired)
	}
	perTarget := float64(measure.Heap()-before) / targets
	steps := 0
	begin := measure.Processor()
	for b.Loop() {
		tracker.Step(now, desired)
		steps++
	}
	b.ReportMetric(perTarget, "heap-B/target")
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(steps*targets), "cpu-ns/target")
	runtime.KeepAlive(tracker)
}
