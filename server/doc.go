// Package server assembles a guavarill process from its settings: the daemon, its
// adapters, and the listeners for callers, operators and other daemons. The command
// guavarilld and the demo are thin wrappers around it.
package server
