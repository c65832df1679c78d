// Package timeline keeps what happened in one process as a bounded list of
// typed events, and merges the lists of many processes into one.
//
// A Ring gives each event a hybrid time: the wall time handed in, never lower
// than that of the event before, and a sequence number that grows by one. An
// event lost from a full ring shows as a gap in the sequence. Merge orders
// events of several processes by wall time, process and sequence, so that the
// events of one process keep their order whatever its clock does. Format
// writes one aligned line an event, the same bytes for the same events.
package timeline
