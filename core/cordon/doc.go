// Package cordon decides whether tasks may be started in an availability zone that
// an operator may have cordoned: closed to new starts, while what runs there runs
// on. It does no I/O; times are passed in.
//
// A cordon must be in force within a bound after it was stored, whoever starts a
// task and whatever has become of its messages. Two limits together keep that
// bound, without any daemon or worker hearing of the cordon:
//
//   - A daemon starts tasks only by a View that is at most Limits.MaxAge old. With
//     an older one it starts nothing in any zone until it has read the cordons again.
//   - A worker accepts a start only until Limits.StartWithin after it was sent, by
//     the worker's own clock. A start that is delivered later, because a daemon, a
//     relay or the network held it up, is refused there.
package cordon
