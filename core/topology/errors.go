package topology

import (
	"fmt"

	"github.com/guavarill/guavarill/core/model"
)

// MaxShards is the exclusive upper limit of shard ids. It bounds the memory that a
// daemon allocates for a corrupt stored value.
const MaxShards = 1 << 20

// Reason is the reason why a stored topology is invalid.
type Reason string

// The reasons.
const (
	ReasonDuplicateRack Reason = "rack listed twice"
	ReasonShardTooHigh  Reason = "shard id too high"
)

// InvalidError reports an invalid stored topology.
type InvalidError struct {
	Rack   model.Rack
	Reason Reason
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("topology: rack %q: %s", e.Rack, e.Reason)
}
