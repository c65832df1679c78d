// Package placement chooses the worker on which a task is to run.
//
// A Snapshot holds the workers that may be chosen from and indexes them by
// free room. It lives as long as its owner likes: Put, Remove, Assume and
// Release keep it current, so nothing is rebuilt for each cycle. Placer.Place
// takes a few candidates from the index (the tightest that fit and some drawn
// at random), admits them through the filters and takes the best by the
// weighted sum of the scores. The work for one decision is bounded by the
// number of candidates and of index cells, not by the number of workers.
//
// Only when the candidates yield nothing are all workers examined, so a task
// is never called unplaceable because the draw was unlucky. Soft filters are
// then given up one by one. A size that no worker had room for is remembered
// until room is freed, so that a long queue behind a full cluster costs one
// comparison a task.
//
// Place changes nothing. The caller commits the decision and calls Assume.
// The package does no I/O; its random source is handed in.
package placement
