// Package demo runs a whole deployment in one process: the stand-in platform,
// three daemons, a manifest, and callers that send requests through all
// entries while one daemon is killed and comes back and another is drained.
// Its report counts at the stand-ins what was lost, doubled or overcommitted.
package demo
