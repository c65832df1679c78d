// Package minimalsizes remembers which sizes were asked for in vain, so that a demand of
// the same kind that is at least as large need not be tried.
package minimalsizes
