// Package crashes judges a task by the crashes of workers under it: whether the task may be
// their cause, and whether it has to be given up. It keeps no state; the crashes are
// stored with the job's progress.
//
// Most of the tasks on a crashing worker are not the cause. Crashes for other reasons
// come at any time of a run, often to several workers at once, and rarely to the same
// task again.
package crashes
