// Package workersession implements the owner's side of the protocol between the
// owner of a shard and the agent on one worker (api/worker/v1). A Session turns
// the attempts that the committed ledger requires on the worker into messages to
// the agent, and the agent's responses into facts that the owner can commit. It
// does no I/O.
//
// # Messages
//
// At most one call is in flight. A message carries all pending commands and,
// every RenewEvery, a renewal of the leases of all attempts. A command is sent
// immediately if no call is in flight, and is repeated until the agent has
// answered it. The agent answers a repeated command like the first copy.
//
// # Renewals by hash
//
// A renewal carries the hash of the attempts that the agent is expected to hold.
// Once a response has confirmed the hash, the following renewals carry only the
// hash; the agent renews the whole set or, if its own hash differs, nothing.
// Renewals name every attempt again after a mismatch, a response that neither
// confirms nor rejects the hash, a failed call, or a restart of the agent, until
// a response confirms the hash. After the first two, the attempts are renewed by
// name at once and a full report is requested.
//
// The bounds on the attempts' ends are extended when a renewal is sent, by hash
// or by name. No response reduces them again: a message without a response may
// have been executed, and a delayed copy of a message that did not match may
// still match.
//
// Usage measurements are requested every UsageEvery, by the positions of the
// attempts in the set, and only those newer than the known ones. Full reports,
// every ReportEvery, detect discrepancies. Ends of attempts are in every
// response.
//
// # Leases
//
// Each response carries a grant, which is a point in time on the agent's clock.
// A start or renewal names the latest grant, and its lease counts from the time
// of that grant, so a delayed message can neither start a task late nor extend a
// lease. The session receives a grant after it was issued. Its time of receipt
// plus Lease plus Margin is therefore an upper bound on the end of the lease,
// whatever happens to the message. For attempts of earlier owners the bound
// counts from when the shard was acquired or, if later, from the first response
// under this epoch. Before the first response the bound is valid only after an
// event with PredecessorsOver, because an earlier owner may renew leases
// through a store outage, real or seen only on its side of a partition, for an
// unlimited time.
//
// # Ends of attempts
//
// An attempt is over, and the next one may start on another worker, only when
//   - the agent reported its end (Observed),
//   - the agent refused its start for good (Observed with StateRefused),
//   - the agent executed a command to stop it and does not know it (NotKnown),
//   - the agent knows a newer attempt of the task (Superseded),
//   - the agent restarted after the attempt may have started (WorkerRestarted),
//   - its bound passed (LeaseExpired), or
//   - no start of it was sent, the bound for earlier owners passed, and the
//     worker is unreachable or not listed (NeverSent).
//
// While the worker has not responded, the last two additionally require
// PredecessorsOver.
//
// A start that was sent and not answered is none of these cases: it is sent
// again. An attempt number starts at most once. An inherited attempt that the
// agent does not know is ended and not started again.
//
// # Requirements on the agent
//
// The session relies on the agent to
//   - refuse epochs below the highest it has seen;
//   - remember every attempt that it started, stopped or refused, including
//     unknown attempts that it was told to stop, until it is told to forget the
//     attempt and for one lease after that;
//   - report in every response the attempts named by the request's commands and
//     those that are over and not forgotten, and all attempts if a full report
//     was requested;
//   - renew by a hash either the whole set or nothing, and confirm a match; and
//   - end a task whose lease has expired, on a clock that advances while the VM
//     is suspended.
package workersession
