// Package jobsched schedules the tasks of jobs on workers. Machine is the state
// of the one daemon that leads: it is handed events with their times, does no
// I/O, and returns the effects that the daemon is to carry out.
//
// The workers hold the truth of what runs. An order is sent without a record of
// it; a worker keeps the end of an attempt until it is acknowledged, and it is
// acknowledged only when its consequence is stored. A daemon that takes over
// asks every worker, under its own higher epoch, before it starts anything that
// an earlier leader may have started.
package jobsched
