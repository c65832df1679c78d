package main

import "time"

// sameID: clients of two queues choose the same id for their jobs. In the quiet form the ids
// differ.
func sameID(r *rig) {
	orders, notes := newQueue("orders"), newQueue("notes")
	r.deploy(orders, notes)
	first := r.ordinaryJob(orders)
	if !r.submit(first) {
		r.must(errNotAccepted)
	}
	r.watch(first, 0, 20*time.Second)
	second := r.newJob(notes, []step{{Count: 3, CPU: 1000, MemMB: 500, EstimatedMs: 2000}}, []taskSpec{{Ms: 2000}})
	if r.disturbed {
		second.id = first.id
	}
	if !r.submit(second) {
		return
	}
	r.watch(second, 6*time.Second, 20*time.Second)
	r.judgeCompleted(second)
	if started := r.audit.startedWith(second.specification); second.state == "completed" && started < second.steps[0].Count {
		r.audit.breaks("MIXED", "job %s of queue %s was accepted and is told as completed, and %d of its %d tasks have been started",
			second.id, notes.Name, started, second.steps[0].Count)
	}
}
