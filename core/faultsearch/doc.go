// Package faultsearch finds the entry for which a store refuses a commit for good.
//
// A commit is stored whole or not at all, so one such entry keeps back all others. It is
// found by halving: the records of the refused commit are stored in ever smaller groups,
// without anything else, until a record is refused alone and the commit without it is not.
package faultsearch
