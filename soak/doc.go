// Package soak runs the real daemon as separate processes against stand-ins,
// injects faults from outside of them, drawn from a seed, and checks what is
// promised from what callers and workers see.
//
//	go test ./soak                                   the seeds of CI
//	go test ./soak -run Fresh -seeds 50 -first 1000  by hand
//	go test ./soak -run Fresh -seeds 3 -planned      nothing but planned work
//	go test ./soak -run Fresh -seeds 3 -large        large configurations, slow links
//	go test ./soak -run Fresh -seeds 3 -restarting   workers that start again under their ids
//	go test ./soak -run Fresh -seeds 3 -cordoning    zones that are cordoned and reopened
//
// Faults come in series and overlap: daemons are killed, stopped, suspended and
// restarted by signals; proxies on loopback delay, reset, silence or cut one way
// the connections to the store and to workers; the store is down for all or
// ends the leader's lease; workers are lost, replaced and drained; the
// configuration changes. Beside them goes planned work, in series of several
// seconds: all workers are replaced one after the other, and all daemons are
// restarted in turn. Clocks are not disturbed: a process cannot be given
// another without privileges.
package soak
