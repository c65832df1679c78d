// Package dedup keeps a non-idempotent request from running twice when its
// caller repeats it under the same id, through whichever entry.
//
// Entries have no disks, so the record of an id lives in the memory of a few
// of them. The homes of an id are the NumHomes entries that rank highest for
// it by rendezvous hash. Before an entry sends a non-idempotent request it
// claims the id at its homes and goes on only when a majority of them (2 of 3)
// granted the claim to this very attempt. Two claims for one id cannot both
// have a majority of the same homes, so at most one of them sends.
//
// A home answers a claim with one verdict:
//
//	Granted   the id was not recorded here; it is now, for this claimant
//	Held      the id is recorded for another claimant
//	Mismatch  the id is recorded for another payload
//	Unsure    this home may have forgotten the id or never have been asked
//	Full      the id was certainly not recorded here, and there is no room
//
// Unsure is what makes a restart safe. A home that booted less than Retention
// ago does not know which ids were claimed before it booted, so it neither
// grants nor refuses them. The one exception is an id that tells when it was
// made (UUIDv7) and was made later than boot + Settle + Skew: by then every
// entry counted this home among the members, so nobody claimed the id without
// asking it. An id that says it was made more than Retention - Skew ago is
// Unsure too, since its record may have been dropped.
//
// The machine that a claimant runs (Claim) combines the verdicts:
//
//	majority Granted                  send
//	majority Granted or Full          the id was never used: not run
//	anything else                     unknown; nothing is sent
//
// What is promised: a non-idempotent id runs at most once, through any number
// of deaths, restarts and joins of entries, as long as all of these hold.
//
//  1. Repeats come within Retention - ClaimValid of the first use, or carry a
//     UUIDv7.
//  2. The members from which homes are taken include every entry that was one
//     within the last Retention, dead or not (see Eligible), and a new entry
//     is in every entry's view within Settle of its boot.
//  3. An entry claims only after it has had a whole view of the members from
//     another entry (Options.Settle after its boot).
//  4. The clocks of callers that make UUIDv7 ids, and of entries, differ by
//     less than Skew.
//  5. An entry sends within ClaimValid of its claim, by its monotonic clock.
//
// What is not promised: at-most-once when one of these is broken, for example
// by a partition that outlasts Retention while a caller repeats on both sides
// of it, or by a process that is paused between its last look at the clock and
// the write to the socket for longer than Retention. Nor is availability:
// when two homes of an id are away, the answer is unknown, never a guess.
package dedup
