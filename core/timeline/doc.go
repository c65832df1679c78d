// Package timeline records the events of a process in a bounded list and merges
// the lists of several processes into one time line.
//
// A Ring gives each event a hybrid time: the wall time passed to Append, but not
// earlier than that of the previous event, and a sequence number that increases
// by 1. Events dropped from a full ring appear as a gap in the sequence. Merge
// orders the events of several processes by wall time, process and sequence, so
// the events of one process keep their order even if its clock is set back.
// Format writes one aligned line for each event and is deterministic.
package timeline
