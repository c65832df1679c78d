// Package model holds the vocabulary that guavarill's packages share: names,
// sizes, and the identity of a task, an attempt and a shard. It has no
// behaviour beyond arithmetic and comparison.
package model
