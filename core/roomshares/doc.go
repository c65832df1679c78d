// Package roomshares divides the room of a pool of workers between claimants that
// together want more than there is. It answers a load in which work that keeps its room
// for long arrives faster than it ends, beside urgent work that has to start at once.
//
// Divide returns what each claimant is entitled to: weighted max-min shares, measured by
// the resource of which a claimant wants the largest part. What a claimant does not want
// is lent to the others. Reserve remembers what a claimant has lately wanted, since room
// that was lent to long work does not come back when it is wanted again.
//
// The package does no I/O and has no clock.
package roomshares
