// Package runpace keeps how fast the runs of tasks advance, and tells for how long one may
// stand still.
//
// A percent of a task's run is the smallest progress that a worker reports. How long one
// takes differs by orders of magnitude between tasks, and the estimates of callers are
// rough. So whether a run stands still is judged by what is known of its pace: its own,
// that of its step, that of its image, else the estimate.
package runpace
