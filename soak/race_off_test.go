//go:build !race

package soak

// buildFlags has the daemon built as it is deployed.
var buildFlags []string
