package httptarget

// Fault is an error that this package itself detects in a request, a
// connection or a response.
type Fault string

// The values of Fault.
const (
	faultNoShare      Fault = "no connections to this target are allowed"
	faultNoneFree     Fault = "all connections to the target are in use"
	faultSealed       Fault = "the exchange was given up before anything was written"
	faultClosedByPeer Fault = "the target closed the connection"
	faultUnsolicited  Fault = "the target sent bytes that answer no request"
	faultPastDeadline Fault = "the deadline passed before anything was written"
	faultSilent       Fault = "no byte of an answer came and the target was asked over another connection"
	faultUnbounded    Fault = "the answer has neither a length nor chunks: its end cannot be told from a break"
	faultSwitched     Fault = "the target switched protocols"
	faultTooLarge     Fault = "the answer is larger than the bound"
	faultPath         Fault = "the path is not a valid URL path"
	faultDropped      Fault = "the connection is no longer wanted"
)

// Error implements error.
func (f Fault) Error() string { return string(f) }
