// Package joborder decides in which order steps of jobs get workers. It answers a backlog
// that the workers cannot clear: what is spent on a job that will be late all the same is
// missing for others.
//
// A Rank holds the sort keys of a step. Two of them follow from what is learned by queue:
// RunTimes tells how much longer than estimated jobs take, and with it whether one can
// still meet its objective; Balances tells how far small jobs may go before large ones.
package joborder
