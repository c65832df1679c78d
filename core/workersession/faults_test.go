package workersession_test

import "time"

// faultKind is the kind of a fault in a world.
type faultKind int

const (
	pauseOwner    faultKind = iota // the owner is paused; its lease may lapse and another host takes over
	outageOwner                    // the owner and two more hosts lose the store, which serves the others
	outageAll                      // no host reaches the store
	flapHost                       // host Target loses the store for an eighth of the time
	splitHosts                     // hosts with and without the store do not reach each other
	restartAgent                   // the agent on Target restarts and loses its tasks
	cutAgent                       // Target is partitioned from all owners
	cutSuccessors                  // Target is partitioned from all later owners
	evictTask                      // the owner evicts task Target
	releaseOwner                   // the owner releases the shard voluntarily
	dropTask                       // as evictTask, without a checkpoint
	faultKinds
)

// fault is one fault and when it happens, relative to the start of the world.
type fault struct {
	Kind   faultKind
	Target int
	At     time.Duration
	For    time.Duration
}

// applyDueFaults applies the faults that are due.
func (w *world) applyDueFaults() {
	for len(w.faults) > 0 && w.now.Sub(epochTime) >= w.faults[0].At {
		w.apply(w.faults[0])
		w.faults = w.faults[1:]
	}
	w.join()
}

func (w *world) apply(f fault) {
	switch f.Kind {
	case pauseOwner:
		w.current.host.pausedUntil = w.now.Add(f.For)
	case outageOwner:
		w.cutOffStore(f.Target, worldHosts/2, f.For)
	case outageAll:
		w.cutOffStore(f.Target, worldHosts, f.For)
	case flapHost:
		w.hosts[f.Target%worldHosts].cutOff = w.now.Add(f.For / 8)
	case splitHosts:
		w.split(f.For)
	case restartAgent:
		w.agents[f.Target%worldWorkers].Restart()
		w.seenEpochs[f.Target%worldWorkers] = 0
	case cutAgent:
		w.partitions[f.Target%worldWorkers] = partition{until: w.now.Add(f.For)}
	case cutSuccessors:
		w.partitions[f.Target%worldWorkers] = partition{until: w.now.Add(f.For), above: w.current.epoch}
	case releaseOwner:
		w.release()
	case evictTask:
		w.evict(f.Target%worldTasks, false)
	case dropTask:
		w.evict(f.Target%worldTasks, true)
	}
}

// release makes the owner release the shard voluntarily. The release is clean if no
// earlier owner can still be renewing.
func (w *world) release() {
	o := w.current
	if !w.hasStore(o.host) || !w.now.Before(o.leaseEnd) {
		return
	}
	o.leaseEnd = w.now
	o.lost = true
	w.takeOver(o.predecessorsOver || w.eagerClean)
}

func (w *world) evict(i int, discard bool) {
	row := &w.ledger[i]
	if row.worker < 0 || row.stopping || w.paused(w.current.host) {
		return
	}
	row.stopping = true
	row.discard = discard
	w.dropped[attemptName(row.key.String(), uint32(row.attempt))] = discard
	w.sendDesired(w.current)
}
