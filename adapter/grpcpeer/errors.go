package grpcpeer

// clientError is a failure of the client itself.
type clientError string

func (e clientError) Error() string { return string(e) }

const errClosed clientError = "client is closed"
