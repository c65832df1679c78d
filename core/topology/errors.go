package topology

import (
	"fmt"

	"github.com/guavarill/guavarill/core/model"
)

// MaxShards bounds shard ids, so that a damaged value cannot make a daemon
// allocate without end.
const MaxShards = 1 << 20

// Reason is why a stored topology is refused.
type Reason string

// The reasons.
const (
	ReasonDuplicateRack Reason = "rack listed twice"
	ReasonShardTooHigh  Reason = "shard id too high"
)

// InvalidError is a stored topology that makes no sense.
type InvalidError struct {
	Rack   model.Rack
	Reason Reason
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("topology: rack %q: %s", e.Rack, e.Reason)
}
