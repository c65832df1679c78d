// Package settings holds the daemon's settings as flags and environment
// variables, and checks them as a whole before anything starts.
package settings
