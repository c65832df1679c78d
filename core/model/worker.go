package model

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole distinguishes worker VMs from the entry VMs, which run guavarill's
// daemons.
type VMRole string

// The roles of a VM in the platform's list.
const (
	RoleWorker VMRole = "worker"
	RoleEntry  VMRole = "entry"
)

// VM is an entry of the platform's list of VMs. The list may lag behind the actual
// state.
type VM struct {
	ID       WorkerID  `json:"id"`
	Role     VMRole    `json:"role"`
	State    VMState   `json:"state"`
	Zone     Zone      `json:"availabilityZone"`
	Rack     Rack      `json:"rack,omitempty"`
	Capacity Resources `json:"capacity"`
	// Address is the host:port of the worker's agent or, on an entry VM, of the
	// daemon's peer listener.
	Address string `json:"address"`
}
