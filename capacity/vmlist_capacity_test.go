package capacity_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/guavarill/guavarill/capacity/measure"
	"github.com/guavarill/guavarill/core/model"
)

func capacityVM(i int) model.VM {
	return model.VM{
		ID: model.WorkerID(fmt.Sprintf("worker-mvd-a-%04d", i)), Role: model.RoleWorker, State: model.VMLive,
		Zone: "mvd-a", Rack: model.Rack(fmt.Sprintf("mvd-a-rack-%03d", i/8)),
		Capacity: model.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Accelerators: 1},
		Address:  fmt.Sprintf("10.20.%d.%d:7200", i/250, i%250),
	}
}

// BenchmarkCapacityVMList is one read of the platform's list: the bytes of a
// line, and the time and memory of a decoded one by its name.
func BenchmarkCapacityVMList(b *testing.B) {
	const vms = 3500
	list := make([]model.VM, vms)
	for i := range list {
		list[i] = capacityVM(i)
	}
	body, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	read := func() map[model.WorkerID]model.VM {
		var lines []model.VM
		if err := json.Unmarshal(body, &lines); err != nil {
			b.Fatal(err)
		}
		byID := make(map[model.WorkerID]model.VM, len(lines))
		for _, vm := range lines {
			byID[vm.ID] = vm
		}
		return byID
	}
	before := measure.Heap()
	held := read()
	perVM := float64(measure.Heap()-before) / vms
	runtime.KeepAlive(held)
	runs := 0
	begin := measure.Processor()
	for b.Loop() {
		read()
		runs++
	}
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(runs*vms), "cpu-ns/VM")
	b.ReportMetric(float64(len(body))/vms, "B/VM")
	b.ReportMetric(perVM, "heap-B/VM")
}
