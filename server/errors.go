package server

// Part names a part of the process that can fail to start or to stop.
type Part string

// The parts of a process.
const (
	PartCallers Part = "callers' listener"
	PartAdmin   Part = "operators' listener"
	PartPeers   Part = "peers' listener"
	PartStore   Part = "store client"
	PartTLS     Part = "TLS files"
	PartDaemon  Part = "daemon"
)

// StartError reports which part of the process failed to start.
type StartError struct {
	Part Part
	// Address is the address that was listened on or connected to; it is empty for
	// parts without one.
	Address string
	Cause   error
}

// Error implements error.
func (e *StartError) Error() string {
	text := string(e.Part)
	if e.Address != "" {
		text += " " + e.Address
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// StopError reports which part of a planned stop did not finish in time. With
// PartCallers, requests in flight were cut off. With PartDaemon, some shards were
// not handed over, and their new owners wait until this daemon's lease expires.
type StopError struct {
	Part  Part
	Cause error
}

// Error implements error.
func (e *StopError) Error() string { return "planned stop, " + string(e.Part) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Cause }
