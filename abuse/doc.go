// Package abuse runs daemons as separate processes against stand-ins, with the memory and
// the descriptors of their VM, and plays clients against their interfaces that misuse them,
// beside ordinary callers.
//
// A play has one crowd: many connections that all behave in one way. The memory of each
// daemon is watched, with the bytes that the kernel holds for it unread; a daemon that
// exceeds that of its VM is ended and started again. The ordinary callers submit jobs and
// follow them to their end, and readiness is asked for as the platform's balancer does. All
// of it stays on loopback addresses, and ends by itself.
//
// The tests play a part of each crowd for a short time. By hand, with all connections:
//
//	go test ./abuse -run TestHeads -v -args -full -length 15s -seed 2
package abuse
