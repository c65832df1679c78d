// Package placementpass bounds how many checks of workers a placement round makes, and
// spreads a pass over all waiting steps over as many rounds as that takes.
package placementpass
