// Package membership keeps one daemon's view of the daemons of its cluster.
//
// # Sources
//
// Three sources are combined, none of which is believed alone:
//
//   - the platform's list of VMs, which lags. It gives addresses to ask, and
//     takes the place of other members' reports once it stops listing a VM
//     that fails to answer. It never removes a member that answers.
//   - members' own word: each message carries its sender's record, and
//     relayed records carry the incarnation of the member they are about.
//   - direct evidence: exchanges that this daemon started and that were
//     answered or failed.
//
// # Incarnations
//
// A member's incarnation starts at its boot time in Unix milliseconds and is
// raised by the member alone: to refute a suspicion, and to announce that it
// is leaving. A record with a lower incarnation than the known one is never
// taken, so a delayed message from an earlier boot changes nothing. A daemon
// whose clock went back between boots learns from the replies which
// incarnation its peers hold and passes it.
//
// # Rounds
//
// Each period the machine starts Options.Fanout exchanges, going through all
// peers in an order that is shuffled anew each time round, and at most
// Options.DoubtFanout more with members in doubt. A message carries the
// sender, at most Options.MaxChanges recent changes and Options.Rotating other
// records, so the bytes of a round do not grow with the number of members. A
// daemon's first message to another may carry Options.MaxSync records.
//
// # Removal
//
// A member is suspect after Options.SuspectAfter failed exchanges in a row.
// The suspicion is told to others. They do not pass it on as it is: each asks
// the suspect itself, and only a daemon that failed too repeats it, so a
// SUSPECT record is always its sender's own experience. A suspect is removed
// when all of these hold (fewer for one that said it is leaving):
//
//   - Options.SuspicionTimeout has passed and an exchange that was started
//     after that failed too, so a member that was merely paused is heard
//     first;
//   - Options.Confirmations other members report that they failed as well, or
//     the platform no longer lists the VM;
//   - this daemon reaches a majority of the members that are not dead, itself
//     counted, or the platform no longer lists the VM. Otherwise it blames its
//     own link and keeps the others as suspects;
//   - suspicions have stopped coming, when there are many: the members behind a
//     cut are found one after the other, and only their number tells which side
//     is the smaller one.
//
// A daemon whose own rounds were interrupted for several periods restarts all
// suspicions. Removed members are kept as dead for Options.DeadRetention.
//
// # Store outages
//
// While its store is silent a daemon asks more peers each period, so that it
// has a majority's own answers within Options.OutageGrace; relayed statements
// and unsolicited messages do not count, because their age is unknown.
//
// Each message says how long ago the store last answered its sender, and for
// how long the sender has not said that it is silent. By the first an owner
// knows that a majority confirms an outage (StoreSilentAt); by the second a new
// owner knows that no other can have such a majority (StoreKeptBy). Both count
// the known members: all but the dead. What rests on this is that two daemons'
// views of who is known differ by so few that a majority of one and a majority
// of the other share a member, and that one process at a time goes by a name.
package membership
