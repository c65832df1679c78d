// Package routing chooses which instance of a service receives a request. An
// entry is a daemon that accepts requests from callers and forwards them to
// targets, the instances of the service. A Balancer holds what one entry knows
// about the targets on which it has a share of the slots.
//
// # Choosing
//
// A target with a free slot belongs to one of four tiers: near and healthy, far
// and healthy, slow, last resort. Pick samples a few targets at random from the
// best tier that is not empty and takes the one with the lowest expected
// latency, weighted by the fraction of its slots in use. Each tier keeps its
// own list, so that a choice costs the same for 50 and for 26,000 targets, and
// allocates nothing.
//
// A free slot on a much slower target is not taken while waiting for a better
// one is expected to be quicker: with n requests ahead, the slots of the better
// tiers become free at a known rate. Pick then returns false although Free is
// not 0. The expected wait for which a slot is declined is always less than
// maxDefer times the usual latency.
//
// # Ejection and recovery
//
// Targets are compared with the median latency of the targets in their
// availability zone. A target whose recent average exceeds SlowRatio times the
// median is slow. It is ejected when its average exceeds EjectRatio times the
// median, after several consecutive failures that its peers do not share, or
// when it refuses a request. Slow and ejected targets are probed: they receive
// single requests at increasing intervals, spaced so that probes stay a small
// fraction of all requests. Several good responses in a row restore a target,
// with one request at a time at first.
//
// At most the fraction MaxEjected of the targets is ejected. Further targets
// that qualify for ejection become the last resort: they are chosen when no
// other target is free.
//
// # Silence
//
// Choice.OverdueAfter and Choice.SilenceAfter are derived from the observed
// latencies. An overdue exchange makes the target's idle connections untrusted
// (Choice.TrustSince); when many exchanges are overdue at once, the connections
// to all targets become untrusted. A silent exchange makes a target that has
// sent no other response in the meantime suspect: it receives one request at a
// time, over a new connection, until it responds to one. A second silence, over
// a new connection, is attributed to the target and ejects it.
//
// The slot of a silent exchange stays taken for as long again as the exchange
// lasted, at most maxHold, because the target may still be processing the
// request. The number of requests sent to a target beyond its slots is
// therefore bounded by the exchanges that last more than twice SilenceAfter,
// and by those abandoned while many are overdue.
package routing
