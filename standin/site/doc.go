// Package site starts a whole stand-in platform on loopback: the key-value
// service, the list of VMs, an agent for each worker, and a target for each
// service instance that an agent starts. It serves the demo and the command
// `guavarill standin`, and counts what the daemons cannot be trusted to count
// themselves.
package site
