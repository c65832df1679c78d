// Package examples holds sample manifests, for tests and for operators to
// begin from.
package examples
