package server

// Part is a part of a process that can fail to start or to go on.
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

// StartError says which part of a process failed.
type StartError struct {
	Part    Part
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

// StopError says which part of a planned stop did not end in time: requests of
// callers were cut off, or shards were not handed over and their new owners
// wait for this daemon's lease to end.
type StopError struct {
	Part  Part
	Cause error
}

// Error implements error.
func (e *StopError) Error() string { return "planned stop, " + string(e.Part) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Cause }
