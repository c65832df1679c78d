//go:build !race

package process

// RaceDetector is whether this program, and so the daemon, is built with the race detector.
const RaceDetector = false
