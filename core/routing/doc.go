// Package routing chooses which instance of a service gets a request. A
// Balancer holds what one entry knows of the instances it has a share of.
//
// # Choosing
//
// A target with a free slot is in one of four tiers: near and healthy, far and
// healthy, slow, last resort. Pick draws a few targets at random from the best
// tier that has any and takes the one with the lowest expected latency, raised
// by how much of it is in use. Lists are kept per tier, so that a choice costs
// the same for 50 and for 26,000 targets, and allocates nothing.
//
// A free slot on a much slower target is not taken while waiting for a better
// one is expected to be quicker: with n requests ahead, slots of the better
// tiers come free at a known rate. Pick then returns false although Free is
// not 0. The wait never exceeds maxDefer usual latencies.
//
// # Leaving and coming back
//
// Targets are compared with the median of those in their zone. One whose recent
// average exceeds SlowRatio times that is slow; beyond EjectRatio, or after
// several failures in a row that its peers do not share, or when it refuses, it
// rests. Slow and resting targets are probed: a few requests at increasing
// intervals, spaced so that probes stay a small part of all. Some good answers
// in a row bring a target back, with one request at a time at first.
//
// At most MaxResting of the targets rest. The others that should are the last
// resort: chosen when nothing else is free.
//
// # Silence
//
// Choice.OverdueAfter and Choice.SilenceAfter follow from the latencies seen.
// An overdue exchange costs its target's idle connections their trust
// (Choice.TrustSince); when many are overdue at once, those of all targets. A
// silent exchange makes a target that has answered nothing else meanwhile
// suspect: one request at a time, over a new connection, until one is answered.
// A second silence, over a new connection, blames the target.
//
// The slot of a silent exchange stays taken as long again as the exchange
// lasted, because the target may still be at work on it. What is sent to a
// target beyond its slots is therefore bounded by the exchanges that last more
// than twice SilenceAfter, and by those given up while many are overdue.
package routing
