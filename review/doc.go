// Package review holds what the scripts of the review share: the daemons as
// processes, a store, minions and clients, all on loopback.
//
// The store is the project's own stand-in behind a front that can lose answers.
// The minions are new; they follow the users' page on running tasks.
package review
