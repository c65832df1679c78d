// Package workerspeed learns how many times as long as elsewhere work takes on each
// worker. It answers a load in which a part of the workers takes several times as long
// as the others without failing. It does no I/O.
//
// What an attempt takes for a unit of its work is compared with what the same work has
// lately taken on other workers (Reference). A worker counts as slow only if most of
// what has lately run on it agrees, over attempts of several steps (Speed): one long
// job or a single straggler does not make a worker slow. Limit tells how slow a worker may
// be for a task.
package workerspeed
