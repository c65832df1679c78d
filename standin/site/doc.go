// Package site starts a complete stand-in platform on loopback: the key-value
// store, the list of VMs, an agent for each worker, and a target for each
// service instance that an agent starts. The demo and the command
// `guavarill standin` use it. The agents and targets count starts and requests
// themselves, so that a check does not depend on the daemons' own counts.
package site
