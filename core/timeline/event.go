package timeline

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Event is an event in one process. Fields that do not apply are zero.
type Event struct {
	// Time is the wall time in UTC. It is not earlier than that of the process's
	// previous event.
	Time time.Time `json:"time"`
	// Sequence is the number of the event since the last start of Process,
	// counted from 1.
	Sequence uint64 `json:"sequence"`
	Process  string `json:"process"`
	Kind     Kind   `json:"kind"`
	// Subject is the id of the task, worker, daemon or service that the event is
	// about.
	Subject  string         `json:"subject,omitempty"`
	Shard    *model.ShardID `json:"shard,omitempty"`
	Epoch    model.Epoch    `json:"epoch,omitempty"`
	Revision model.Revision `json:"revision,omitempty"`
	Attempt  model.Attempt  `json:"attempt,omitempty"`
	Detail   string         `json:"detail,omitempty"`
}

// ShardPtr returns a pointer to id, for Event.Shard.
func ShardPtr(id model.ShardID) *model.ShardID { return &id }
