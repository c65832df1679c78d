// Package shares divides the slots and connections of a service's instances
// between the entries (the daemons that accept requests). It ensures that an
// instance gets no more concurrent requests than it has slots, without any
// communication between entries about single requests.
//
// Divide is a pure function of the membership view and the list of instances.
// Entries with equal views compute shares that add up to exactly the slots of
// each instance. An entry's total is proportional to its weight to within one
// slot. Slots in the entry's own availability zone are assigned first: a slot is
// occupied for the whole round trip, so a slot in another zone is idle for part
// of the time. Slots that do not divide evenly are assigned by rendezvous
// hashing, limited by the totals of the entries, so that a join or a loss of an
// entry moves few slots more than necessary.
//
// If there are fewer slots than entries, each entry still gets one, because it
// could not serve the service otherwise. An instance is then divided into
// ceil(slots × entries / total slots) parts.
//
// Tracker keeps a division safe while views differ. It reduces a share at once
// and raises it only to the value that the division has given continuously for
// the grow delay. This gives the following bound: the shares in use on an
// instance add up to at most its slots at a time T if all live entries held the
// same view at some instant in (T - delay, T]. If views agree within time C
// after the last of a series of changes, the bound therefore holds when the delay
// is longer than the duration of the series plus C. Entries that are partitioned
// from each other for longer than the delay divide each instance once per side
// of the partition, so at most slots × sides are in use. An entry that resumes
// after a pause uses its old share until it has received the new view.
//
// A share limits what may be sent. Requests sent under a larger share complete
// after it was reduced. If the delay also exceeds the longest request, the
// requests in flight are bounded too, not only the shares.
package shares
