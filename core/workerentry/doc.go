// Package workerentry judges the entries of the platform's list of workers: which faults an
// entry may have, and which entries became unusable, were repaired or left from one list to
// the next. Entries are written by workers and by anyone else with access to the list.
//
// It is pure: the Tracker is told of each list, and returns what is to be noted.
package workerentry
