// Package admission decides which requests of a service wait for a slot at an
// entry, in which order, and which are shed, so that waiting stays short under
// overload and no request waits that cannot make its deadline.
//
// The queue is told how many slots the service has here and how many are free
// (SetSlots), and learns the service time (Observe). From them and from the
// recent arrivals of each priority it predicts how long an offered request
// would wait. A request is shed, with the time after which to try again, when
//
//   - it could not end before its deadline;
//   - the queue is overloaded, which means that it has not been empty for
//     StandingInterval, and the predicted wait is longer than TargetWait mean
//     service times: a queue that stands costs every request its length and
//     raises no throughput. Urgent requests are exempt;
//   - MaxQueued requests wait and none of them has a lower priority. Else the
//     newest of the lowest priority is evicted in favour of the new one.
//
// Next gives free slots to the highest priority first, oldest first within
// one, except that a priority which waits is passed over only a bounded number
// of times in a row. While the queue is overloaded and urgent requests have
// been arriving, the last UrgentReserve of the slots, if set, goes to urgent ones only.
//
// A waiting request that can no longer make its deadline leaves the queue at
// the next call of Next or Expire; Expiry says when that is due. Every ticket
// that was queued leaves exactly once: from Next, in one of the lists of the
// expired, as Evicted, or by Cancel.
//
// A Queue does no locking and reads no clock; the owner does both.
package admission
