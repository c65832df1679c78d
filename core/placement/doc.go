// Package placement chooses the worker on which a task runs.
//
// A Snapshot holds the workers and indexes them by free resources. Put,
// Remove, Assume, Release and Resize keep it current, so it need not be rebuilt
// for each cycle. Placer.Place takes a few candidates from the index (the
// tightest fits and a random sample), drops those that a filter rejects, and
// chooses the one with the highest weighted sum of scores. The cost of one
// decision depends on the number of candidates and index cells, not on the
// number of workers.
//
// All workers are examined only when no candidate passes, so that a task is
// not reported as unplaceable because of an unlucky sample. Soft filters are
// then dropped one after the other. A size that no worker had room for is
// remembered until room is freed, so that each task of a long queue in a full
// cluster costs only a few comparisons.
//
// Place does not modify the snapshot: the caller commits the decision and then
// calls Assume. The package does no I/O, and the caller provides the random
// source.
package placement
