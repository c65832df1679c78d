// Package joblog analyzes the log lines of daemons for operators: what the
// outcome of a job was and why, which jobs there were, and which events happened
// in which order. It does no I/O. The lines come from a saved log or from the
// daemons' memory and have the same form in both.
package joblog
