// Package platform stands in for the users' platform in tests: its key-value
// store and its workers, over HTTP on loopback. It follows the platform's
// published protocol as far as guavarill uses it, and is no model of its speed.
package platform
