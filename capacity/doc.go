// Package capacity works out what each role of guavarill takes at a given size
// of the fleet, from slopes that benchmarks measured, and compares it with the
// limits. It writes docs/CAPACITY.md; a test fails when the page says something
// else than this package.
//
// A Slope is one measured figure with the benchmark that gives it. An Item is
// one cost of a role, worked out from slopes and a Size; it names the package
// that carries the work and, where that is too dear, the change that would make
// it cheap. Figures of Items are worked out, not measured.
package capacity
