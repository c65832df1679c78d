// Package interference learns from delayed measurements how much tasks slow down
// other tasks on the same worker, how much capacity tasks actually use, and how
// long they actually run.
//
// Model learns slowdowns. It explains the measured slowdown of a task, the
// victim, as 1 plus the sum of the effects of the tasks that shared its worker
// at the time of the measurement, the aggressors. The effect of an aggressor is
// the sum of four persistent terms times its intensity. The persistent terms
// belong to the aggressor's class for any victim, to the pair of classes, to the
// pair in a load bucket, and to the aggressor's workload. The intensity is the
// ratio of the individual task's current effect to the mean of its workload. It
// changes quickly, because interference comes in phases. All victims on the
// worker are exposed to the same intensity, so the reports of batch tasks beside
// a disturbing task help to identify it.
//
// Each term has a mean and a variance, starts at its prior, and decays towards
// the prior without observations. An observation corrects all terms involved in
// proportion to their variance. This is an extended Kalman filter that keeps
// only the diagonal of the covariance. The prediction for a pair that was never
// observed is therefore the effect of its aggressor on other victims, with a
// standard deviation that reflects the missing evidence. The variance of the
// intensity within a workload is learned as well and is part of the uncertainty
// of a prediction.
//
// Residency records which tasks were on a worker at which time, so that a
// measurement made ten seconds ago is attributed to the tasks that were there
// ten seconds ago, not to the current ones.
//
// Sizes and RunTimes learn the ratios of actual to declared sizes and run times.
//
// No type reads a clock or is safe for concurrent use; the control goroutine
// owns all of them.
package interference
