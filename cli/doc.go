// Package cli is the operators' command: apply, validate, status, jobs,
// cancel, timeline, drain, standin and demo.
//
// Exit codes:
//
//	0  done
//	1  failed
//	2  wrong usage
//	3  conflict: another change came first
//	4  refused: the manifest or the request is not valid
//	5  unknown: the change may have been made; the output says how to find out
//	6  not made: the daemon or the store could not be reached; send it again
//	7  incomplete: some daemons or shards did not answer
package cli
