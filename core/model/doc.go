// Package model defines the basic types shared by guavarill's packages: names,
// sizes, and the identities of tasks, attempts and shards. Its functions only
// calculate, compare, format and parse.
package model
