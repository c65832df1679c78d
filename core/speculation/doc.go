// Package speculation decides which slow tasks get a copy: a second attempt on another
// worker, of which the first end as done counts. It does no I/O and keeps no state.
package speculation
