// Package interference learns, from measurements that arrive late, how much
// one task slows another, how much room tasks really use and how long they
// really run.
//
// Model is the slowdown learner. It explains the measured slowdown of a
// victim as 1 plus the sum of the effects of the tasks that shared its worker
// at the time of the measurement. An effect is the sum of lasting terms (one
// for the aggressor's class whatever the victim, one for the pair of classes,
// one for the pair in the load bucket, one for the aggressor's workload) times
// the loudness of the very task: noise comes in waves, and the loudness says
// which task is loud now, 1 being the mean of its workload. It is short-lived,
// and all victims on the worker hear the same one, so that the reports of the
// batch tasks next to a loud one help to find it.
//
// Each term has a mean and a variance, starts at its prior and returns to it
// when nothing is observed (decay). An observation corrects all terms that
// took part in proportion to their variance, which is an extended Kalman
// filter that keeps only the diagonal of the covariance. A pair that was never
// seen therefore predicts what its aggressor does to others, with a standard
// deviation that says how little is known. How much loudness varies within a
// workload is learned too, and is part of a prediction's uncertainty.
//
// Residency remembers who shared a worker when, so that a measurement made ten
// seconds ago is charged to the tasks of ten seconds ago and not to those of
// today.
//
// Sizes and RunTimes learn the ratio of real to declared sizes and run times.
//
// Nothing here reads a clock or is safe for concurrent use; the control
// goroutine owns all of it.
package interference
