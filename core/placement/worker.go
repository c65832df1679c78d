package placement

import "github.com/guavarill/guavarill/core/model"

// Resident is a task that holds room on a worker.
type Resident struct {
	Key         model.TaskKey
	Class       string
	Service     bool
	Priority    model.Priority
	Size        model.Resources
	LongRunning bool
}

// Worker is a worker as a placement cycle sees it.
type Worker struct {
	VM model.VM
	// Free is the capacity less Committed.
	Free      model.Resources
	Committed model.Resources
	Tasks     []Resident
	// Quarantined, Leaving and Unreachable each keep new tasks away.
	Quarantined, Leaving, Unreachable bool
	// Load is the share of the processors measured in use, from 0 to 1.
	Load float64

	// The rest is the snapshot's own index of the worker.
	slot       int
	zone, rack domainID
	residents  []group
	cell       cellRef
	eligibleAt int
}

// group is how many residents of one workload a worker has.
type group struct {
	class   classID
	profile profileID
	count   int32
	service bool
}

// eligible reports whether any new task may be placed on w.
func (w *Worker) eligible() bool {
	return !w.Quarantined && !w.Leaving && !w.Unreachable && w.VM.State != model.VMLeaving
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

// instancesOf returns how many instances of a service the worker has.
func (w *Worker) instancesOf(service profileID) int {
	for i := range w.residents {
		if w.residents[i].profile == service {
			return int(w.residents[i].count)
		}
	}
	return 0
}
