// Package cli implements the operators' command-line tool with the commands
// apply, validate, status, jobs, cancel, timeline, drain, standin, demo and job.
//
// Exit codes:
//
//	0  done
//	1  failed
//	2  wrong usage
//	3  conflict: another change came first
//	4  refused: the manifest or the request is not valid; nothing was changed
//	5  unknown: the change may have been made; the output says how to find out
//	6  not made: no daemon could be reached, the daemon could not reach the
//	   store, or the cluster has no workers yet; send it again
//	7  incomplete: some daemons or shards did not answer
//
// Results are written to standard output in the format that --output selects,
// errors and warnings to standard error.
package cli
