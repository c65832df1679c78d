// Package process runs daemons as operating system processes, as the platform does: it
// starts, signals and ends them, and bounds what they may use.
package process
