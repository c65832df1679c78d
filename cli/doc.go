// Package cli is the operators' command: apply, validate, status, jobs,
// cancel, timeline, drain, standin and demo.
//
// Exit codes:
//
//	0  done
//	1  failed
//	2  wrong usage
//	3  conflict: another change came first
//	4  refused: the manifest or the request is not valid; nothing was changed
//	5  unknown: the change may have been made; the output says how to find out
//	6  not made: no daemon, or the daemon not the store, could be reached, or
//	   the cluster has no workers yet; send it again
//	7  incomplete: some daemons or shards did not answer
//
// What is asked for goes to standard output, in the form that --output names.
// What went wrong goes to standard error.
package cli
