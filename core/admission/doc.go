// Package admission decides which requests of a service wait for a slot at an
// entry, a daemon that accepts callers' requests, in which order they are
// served, and which are shed. Waits stay short under overload, and no request
// waits that cannot meet its deadline.
//
// The owner sets how many slots the service has at the entry and how many of
// them are free (SetSlots), and reports service times (Observe). From these and
// from the recent arrivals of each priority, the queue predicts how long an
// offered request would wait. A request is shed, with the time after which the
// caller should retry, when
//
//   - it could not end before its deadline;
//   - the queue is overloaded, which means that it has not been empty for
//     StandingInterval, and the predicted wait is longer than TargetWait mean
//     service times: a standing queue delays every request by its length and
//     does not raise throughput. Urgent requests are exempt;
//   - MaxQueued requests wait and none of them has a lower priority. Otherwise
//     the newest request of the lowest priority is evicted in favor of the new
//     one.
//
// Next gives free slots to the highest priority first and, within a priority,
// to the oldest request first. A priority with waiting requests is passed over
// only a limited number of times in a row. While the queue is overloaded and
// urgent requests have arrived recently, the last UrgentReserve of the slots,
// if set, is given only to urgent requests.
//
// A waiting request that can no longer meet its deadline leaves the queue at
// the next call of Next or Expire; NextExpiry returns when that is due. Every
// queued ticket leaves exactly once: from Next, in one of the lists of expired
// tickets, as Evicted, or by Cancel. A ticket from Next that is requeued is in
// the queue again.
//
// A Queue does no locking and reads no clock; its owner does both.
package admission
