// Package membership maintains one daemon's view of the daemons of its cluster.
//
// # Sources
//
// Three sources are combined, none of which is trusted alone:
//
//   - The platform's list of VMs, which lags. It supplies addresses to contact. A
//     VM that fails to respond and is no longer listed can be removed without
//     reports of other members. The list never removes a member that responds.
//   - Members' own records. Each message contains its sender's record, and relayed
//     records contain the incarnation of the member they describe.
//   - Direct evidence: exchanges that this daemon started and that succeeded or
//     failed.
//
// # Incarnations
//
// A member's incarnation starts at its boot time in Unix milliseconds. Only the
// member itself raises it: to refute a suspicion, and to announce that it is
// leaving. A record with a lower incarnation than the known one is never merged,
// so a delayed message from an earlier boot changes nothing. A daemon whose clock
// was set back between boots learns from the responses which incarnation its peers
// have recorded and raises its own above that.
//
// # Rounds
//
// Each period the machine starts Options.Fanout exchanges, in rotation over all
// peers in an order that is shuffled for each pass, and at most
// Options.DoubtFanout more with members in doubt. A message contains the sender's
// record, at most Options.MaxChanges recent changes and Options.RotatingRecords
// other records, so the bytes of a round do not grow with the number of members. A
// daemon's first message to another may contain Options.MaxSyncRecords records.
//
// # Removal
//
// A member becomes suspect after Options.SuspectAfter consecutive failed
// exchanges. The suspicion is reported to others, which do not relay it: each
// contacts the suspect itself and reports it only if that fails too, so a SUSPECT
// record is always its sender's own observation. A suspect is removed when all of
// these hold (only the first, with Options.LeaveTimeout, for a member that
// announced that it is leaving):
//
//   - Options.SuspicionTimeout has passed and an exchange that was started after
//     that failed too, so that a member that was merely paused is contacted again
//     first;
//   - Options.Confirmations other members report that they failed as well, or the
//     platform no longer lists the VM;
//   - this daemon reaches a majority of the members that are not dead, including
//     itself, or the platform no longer lists the VM; otherwise it assumes that
//     its own link is faulty and keeps the others as suspects;
//   - if there are many suspicions, no new ones arrive any more, or the platform
//     no longer lists the VM: the members on the other side of a partition are
//     detected one after the other, and only their number shows which side is the
//     smaller one.
//
// A daemon whose own rounds were interrupted for several periods restarts all
// suspicions. Removed members are kept as dead for Options.DeadRetention.
//
// # Store outages
//
// While its store is silent, a daemon contacts more peers each period, so that it
// has the responses of a majority within Options.OutageGrace. Relayed statements
// and unsolicited messages do not count, because their age is unknown.
//
// Each message contains the time since the store last responded to its sender, and
// for how long the sender has reported a responding store. From the first, an
// owner learns that a majority confirms an outage (StoreSilentAt). From the second,
// a new owner learns that no other daemon can have such a majority any more
// (OutageRenewalsEnded). Both count the known members, that is, all that are not
// dead. This is safe only if two daemons' sets of known members differ by so few
// that any majority of one and any majority of the other share a member, and if at
// most one process at a time uses an ID.
package membership
