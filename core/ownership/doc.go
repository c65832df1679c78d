// Package ownership decides which shards this daemon owns.
package ownership
