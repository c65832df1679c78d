// Package joblog reads the log lines that daemons write and answers what
// operators ask of them: what became of a job and why, which jobs there were,
// and what happened in which order. It does no I/O: lines come from a saved log
// or from the daemons' memory, and are the same in both.
package joblog
