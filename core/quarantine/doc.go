// Package quarantine decides whether a task or its worker is to blame when the
// task fails, and what follows: a retry, giving the task up, or a quarantine of
// the worker.
//
// A single failure proves nothing, so the task is retried on another worker. If
// it succeeds there, that is evidence against the worker where it failed. If it
// fails there too, that is evidence against the task. A worker is quarantined
// when enough distinct tasks are evidence against it and they are a significant
// share of what ran there. A task is given up when it failed on several
// distinct workers that are not suspect, or when its attempts are exhausted.
// When most workers fail at the same time, a common cause is assumed: neither
// tasks nor workers are blamed, and tasks are retried later.
//
// The duration of a quarantine doubles with its level. After it, the worker is
// on probation and gets one task at a time until a few distinct tasks have
// succeeded. New evidence during a probation leads to a quarantine one level
// higher. The level of an open worker falls slowly.
//
// The Evaluator keeps recent evidence in memory only. Durable state (quarantines,
// a task's counted failures and the workers of these) is kept in the ledger. It
// is passed back by Restore and in each Outcome.
package quarantine
