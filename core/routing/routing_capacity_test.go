package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/guavarill/guavarill/capacity/measure"
	"github.com/guavarill/guavarill/core/model"
)

// capacityTargets returns n instances of one service as an entry receives them.
func capacityTargets(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{
			Address: fmt.Sprintf("10.20.%d.%d:30017", i/250, i%250),
			Task: model.AttemptKey{
				Task: model.TaskKey{Workload: fmt.Sprintf("reorder-service-%04d", i), Generation: 12, Index: uint32(i)}, Attempt: 3,
			},
			Worker: model.WorkerID(fmt.Sprintf("worker-mvd-a-%04d", i)),
			Zone:   model.Zone(fmt.Sprintf("mvd-%d", i%8)), Slots: 1, Connections: 8,
		}
	}
	return targets
}

// BenchmarkCapacityTarget reports the memory of a target in a service's
// balancer, including the strings that it retains, and the time of an update
// that changes nothing.
func BenchmarkCapacityTarget(b *testing.B) {
	const targets = 700
	now := time.Unix(1_800_000_000, 0)
	before := measure.Heap()
	balancer := New("mvd-0", Options{})
	list := capacityTargets(targets)
	balancer.Update(now, list)
	perTarget := float64(measure.Heap()-before) / targets
	updates := 0
	begin := measure.Processor()
	for b.Loop() {
		balancer.Update(now, list)
		updates++
	}
	b.ReportMetric(perTarget, "heap-B/target")
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(updates*targets), "cpu-ns/target")
	runtime.KeepAlive(balancer)
}

// BenchmarkCapacityService reports the memory of a service's balancer without
// its targets.
func BenchmarkCapacityService(b *testing.B) {
	const services = 2000
	balancers := make([]*Balancer, services)
	var perService float64
	for b.Loop() {
		before := measure.Heap()
		for i := range balancers {
			balancers[i] = New("mvd-0", Options{})
		}
		perService = float64(measure.Heap()-before) / services
		clear(balancers)
	}
	b.ReportMetric(perService, "heap-B/service")
}
