package capacity_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/capacity/measure"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/routing"
	"github.com/guavarill/guavarill/traffic"
)

// BenchmarkCapacityEngine is the memory of a declared service in the request
// engine, with one target of which this entry has a slot, and the time of an
// update that changes nothing.
func BenchmarkCapacityEngine(b *testing.B) {
	const services = 2000
	client := httptarget.New(httptarget.Options{})
	defer client.Close()
	before := measure.Heap()
	engine := traffic.New(traffic.Options{Target: client, Registerer: prometheus.NewRegistry()})
	var declared []traffic.Service
	for i := range services {
		declared = append(declared, traffic.Service{
			Name: fmt.Sprintf("reorder-service-%04d", i), Timeout: 2 * time.Second, MaxQueue: 400,
		})
	}
	engine.Configure(declared)
	update := func() {
		for i, s := range declared {
			engine.SetTargets(s.Name, []routing.Target{{
				Address: fmt.Sprintf("10.20.%d.%d:30017", i/250, i%250),
				Task:    model.AttemptKey{Task: model.TaskKey{Workload: s.Name, Generation: 12}, Attempt: 3},
				Worker:  model.WorkerID(fmt.Sprintf("worker-mvd-a-%04d", i)), Zone: "mvd-a", Slots: 1, Connections: 8,
			}})
		}
	}
	update()
	perService := float64(measure.Heap()-before) / services
	runtime.KeepAlive(engine)
	runs := 0
	begin := measure.Processor()
	for b.Loop() {
		update()
		runs++
	}
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(runs*services), "cpu-ns/service")
	b.ReportMetric(perService, "heap-B/service")
}
