// Package shares divides the slots and connections of a service's instances
// over the entries, so that no instance is sent more than its slots although
// entries never talk to each other about a request.
//
// Divide is a pure function of the members' view and the list of instances:
// entries that hold equal views compute parts that add up to exactly the
// slots of each instance. An entry's total follows its weight to within one
// slot. Slots of the entry's own availability zone are dealt first, because a
// slot is taken for the whole round trip and a far one is idle for part of
// it. Which entry gets the slots that do not divide evenly follows from
// rendezvous hashing under the bound of the entries' totals, so that a join or
// a death moves few slots besides those it must.
//
// With fewer slots than entries each entry still gets one, or it could not
// serve the service at all: an instance is then divided into
// ceil(slots × entries / total slots) parts.
//
// Tracker makes a division safe while views differ. A share is reduced at
// once; it grows only to what has been due without interruption for the grow
// delay. From this follows the bound: the shares in use on an instance add up
// to at most its slots at any moment T for which there was an instant in
// (T - delay, T] when all living entries held the same view. Views that agree
// within time C after a change therefore keep the bound when the delay is
// longer than the time that changes keep coming plus C. Entries that are cut
// off from each other for longer than the delay divide an instance once on
// each side of the cut: at most slots × sides. An entry that resumes after a
// pause uses its old share until it has heard of the new view.
//
// A share says what may be sent. Requests that were sent under a larger share
// finish after it shrank, so a delay that also exceeds the longest request
// bounds the requests in flight, not only the shares.
package shares
