// Package settings defines the settings of guavarilld, parses them from flags and
// environment variables, and validates all of them before the daemon starts.
package settings
