package model

// VMState is what the platform says of a VM.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole tells workers from the system's own entry VMs.
type VMRole string

// The roles of a VM in the platform's list.
const (
	RoleWorker VMRole = "worker"
	RoleEntry  VMRole = "entry"
)

// VM is one line of the platform's lagging list.
type VM struct {
	ID       WorkerID  `json:"id"`
	Role     VMRole    `json:"role"`
	State    VMState   `json:"state"`
	Zone     Zone      `json:"availabilityZone"`
	Rack     Rack      `json:"rack,omitempty"`
	Capacity Resources `json:"capacity"`
	// Address is host:port of the worker's agent, or of the daemon's peer
	// listener on an entry VM.
	Address string `json:"address"`
}
