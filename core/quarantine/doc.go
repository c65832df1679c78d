// Package quarantine decides, when a task fails on a worker, which of the two
// is to blame, and what follows from it.
//
// One failure says nothing: the task is tried again elsewhere. What happens
// there is the evidence. A task that goes on to work elsewhere speaks against
// the worker where it failed; a task that fails there too speaks against the
// task. A worker is quarantined when enough distinct tasks speak against it
// and they are not a small part of what ran there. A task is given up when it
// failed on several distinct workers that are not themselves under suspicion,
// or when its attempts are used up. When most workers fail at the same time
// the cause lies outside both: nobody is blamed and tasks wait.
//
// A quarantine ends after a time that doubles with its level. The worker is
// then on probation, one task at a time, until a few distinct tasks have
// worked there; a strike sends it back one level higher. The level falls again
// only slowly.
//
// The judge keeps recent evidence in memory. What must last (quarantines, and
// a task's counted failures and the workers of them) is the ledger's, and is
// handed back by Restore and in each Outcome.
package quarantine
