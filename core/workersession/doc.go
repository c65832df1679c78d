// Package workersession is the owner's side of the protocol between a shard's
// owner and the agent on one worker (api/worker/v1). It turns the owner's
// wishes, taken from the committed ledger, into messages, and the agent's
// answers into facts that the owner can commit. It does no I/O.
//
// # Messages
//
// At most one call is in flight. A message carries all waiting commands, and
// every RenewEvery the renewal of all attempts together. A command leaves at
// once when no call is in flight. A command is repeated until the agent
// answered it: the agent answers a repeat as it answered the first copy.
//
// # Renewals by hash
//
// A renewal carries the hash of the attempts that the agent is taken to hold.
// Once the agent's answer found the same hash, the next renewals name nothing
// else; the agent renews the whole set or, if its own differs, nothing. After a
// mismatch, an answer without either word, a failed call, and a restart of the
// agent, renewals name every attempt again until an answer finds the same
// hash; after the first two at once, with a whole report.
//
// The bounds move when a renewal leaves, by hash as by name. No answer takes
// them back: a message without an answer may have been carried out, and one
// that did not match may have a copy that will.
//
// Measurements are asked for every UsageEvery, by the attempts' positions in
// the set, and only those newer than the known ones; whole reports, every
// ReportEvery, are for repair. Ends are in every answer.
//
// # Leases
//
// Each answer carries a grant, a moment on the agent's clock. A start or a
// renewal names the latest grant and its lease counts from there, so a message
// that was delayed neither starts late nor prolongs a lease. The session
// received the grant after it was issued, so the time of receipt plus Lease
// plus Margin is a bound on the lease's end that holds whatever happens to the
// message. For attempts of earlier owners the bound counts from when the shard
// was acquired, or from the first answer under this epoch if that is later. With
// no answer yet it holds only once MayAct.PredecessorsOver is said: an earlier
// owner may renew through an outage of the store, real or not, for any time.
//
// # Ends
//
// An attempt is over, and the next one may start elsewhere, only when
//   - the agent reported its end (Observed),
//   - the agent refused its start for good (Observed, StateRefused),
//   - the agent was told to stop it and does not know it (NotKnown),
//   - the agent knows a newer attempt of the task (Superseded),
//   - the agent restarted after the attempt may have begun (WorkerRestarted),
//   - its bound passed (LeaseExpired), or
//   - no start of it was sent, the bound for earlier owners passed, and the
//     worker is unreachable or not listed (NeverSent).
//
// The last two wait for PredecessorsOver while the worker has not answered.
//
// A start that was sent and not answered is none of these: it is sent again.
// An attempt number begins at most once; an inherited attempt that the agent
// does not know is ended, not started again.
//
// # What the session relies on
//
// The agent refuses epochs below the highest it has seen; remembers every
// attempt it started, stopped or refused, also one it was told to stop without
// knowing it, until it is told to forget it and for one lease after that;
// reports, in every answer, the attempts that the request's commands named and
// those that are over and not forgotten, and all when asked for a whole report;
// renews by a hash all of the set or nothing, and confirms a match;
// and ends a task whose lease ran out by a clock that goes on while the VM is
// suspended.
package workersession
