package timeline

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Event is one thing that happened in one process. Fields that do not apply
// are left zero.
type Event struct {
	// Time is the wall time, in UTC, never lower than that of the process's
	// event before.
	Time time.Time `json:"time"`
	// Sequence numbers the events of one boot of Process from 1.
	Sequence uint64 `json:"sequence"`
	Process  string `json:"process"`
	Kind     Kind   `json:"kind"`
	// Subject is the id of what the event is about: a task, a worker, a
	// daemon, a service.
	Subject  string         `json:"subject,omitempty"`
	Shard    *model.ShardID `json:"shard,omitempty"`
	Epoch    model.Epoch    `json:"epoch,omitempty"`
	Revision model.Revision `json:"revision,omitempty"`
	Attempt  model.Attempt  `json:"attempt,omitempty"`
	Detail   string         `json:"detail,omitempty"`
}

// ShardPtr returns id in the form that Event.Shard holds it.
func ShardPtr(id model.ShardID) *model.ShardID { return &id }
