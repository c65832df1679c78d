// Package throttle decides how far the best-effort work of a worker is throttled to
// protect its tasks with latency targets.
//
// Readings are handed in as they are reported; the package reads no clock and sends
// nothing.
package throttle
