//go:build race

package soak

// buildFlags has the daemon built with the race detector when the tests are.
var buildFlags = []string{"-race"}
