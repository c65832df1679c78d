package placement

import "github.com/guavarill/guavarill/core/model"

// Resident is a task that holds resources on a worker.
type Resident struct {
	Key         model.TaskKey
	Class       string
	Service     bool
	Priority    model.Priority
	Size        model.Resources
	LongRunning bool
}

// Worker is the state of a worker that placement depends on.
type Worker struct {
	VM model.VM
	// Free is the capacity minus Committed.
	Free      model.Resources
	Committed model.Resources
	Tasks     []Resident
	// Quarantined, Leaving and Unreachable each exclude the worker from new
	// tasks, and so does Cordoned, which is set for all workers of a cordoned
	// availability zone.
	Quarantined, Leaving, Unreachable, Cordoned bool
	// Load is the measured utilization of the processors, from 0 to 1.
	Load float64

	// The fields below are maintained by the Snapshot that holds the worker.
	slot       int
	zone, rack domainID
	residents  []group
	cell       cellRef
	eligibleAt int
}

// group counts the residents of one workload on a worker.
type group struct {
	class   classID
	profile profileID
	count   int32
	service bool
}

// eligible reports whether the state of w allows new tasks.
func (w *Worker) eligible() bool {
	return !w.Quarantined && !w.Leaving && !w.Unreachable && !w.Cordoned && w.VM.State != model.VMLeaving
}

func (w *Worker) countGroup(g group) {
	for i := range w.residents {
		if w.residents[i].profile != g.profile || w.residents[i].service != g.service {
			continue
		}
		w.residents[i].count += g.count
		if w.residents[i].count == 0 {
			w.residents = append(w.residents[:i], w.residents[i+1:]...)
		}
		return
	}
	w.residents = append(w.residents, g)
}

// instancesOf returns the number of instances of a service on the worker.
func (w *Worker) instancesOf(service profileID) int {
	for i := range w.residents {
		if w.residents[i].profile == service {
			return int(w.residents[i].count)
		}
	}
	return 0
}
