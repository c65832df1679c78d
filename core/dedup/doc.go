// Package dedup prevents a non-idempotent request from running twice when its
// caller repeats it under the same ID, through any entry. An entry is a daemon
// that accepts requests from callers and forwards them to targets.
//
// Entries have no disks, so the record of an ID is kept in the memory of
// several of them. The homes of an ID are the NumHomes entries that rank
// highest for it by rendezvous hashing. Before an entry sends a non-idempotent
// request, it claims the ID at its homes and proceeds only when a majority of
// them (2 of 3) granted the claim to this very attempt. Two claims for one ID
// cannot both have a majority of the same homes, so at most one of them is
// sent.
//
// A home responds to a claim with one of these verdicts:
//
//	Granted   the ID was not recorded here; it is now, for this claimant
//	Held      the ID is recorded for another claimant
//	Mismatch  the ID is recorded for another payload
//	Unsure    this home may have forgotten the ID, or claims of it may not
//	          have been sent to this home
//	Full      the ID was certainly not recorded here, and there is no room
//
// Unsure makes restarts safe. A home that booted less than Retention ago does
// not know which IDs were claimed before it booted, so it neither grants nor
// refuses them. The one exception is an ID that contains its creation time
// (UUIDv7) and was created later than boot + MembershipDelay + MaxClockSkew: by
// then every entry counted this home among the members, so the ID cannot have
// been claimed without asking this home. An ID that was created more than
// Retention - MaxClockSkew ago is Unsure too, because its record may have
// expired.
//
// The claimant's state machine (Claim) combines the verdicts:
//
//	majority Granted                  send
//	majority Granted or Full          the ID was never used: not run
//	anything else                     unknown; nothing is sent
//
// Guarantee: a non-idempotent request runs at most once under its ID, through any
// number of failures, restarts and joins of entries, as long as all of these
// conditions hold.
//
//  1. Repeats come within Retention - ClaimValid of the first use, or carry a
//     UUIDv7.
//  2. The members from which homes are chosen include every entry that was a
//     member within the last Retention, failed or not (see Eligible), and a
//     new entry is in every entry's view within MembershipDelay of its boot.
//  3. An entry claims only after it has received a complete view of the
//     members from another entry, at the earliest MembershipDelay after its
//     boot.
//  4. The clocks of callers that create UUIDv7 IDs, and of entries, differ by
//     less than MaxClockSkew.
//  5. An entry sends within ClaimValid of its claim, by its monotonic clock.
//
// There is no guarantee of at-most-once execution when one of these conditions
// is violated, for example by a partition that outlasts Retention while a
// caller repeats the request on both sides of it, or by a process that is
// paused for longer than Retention between its last check of the clock and the
// write to the socket. Availability is not guaranteed either: when two homes of
// an ID are unavailable, the outcome is reported as unknown and never guessed.
package dedup
