package grpcpeer

// clientError is an error that arises in the client itself.
type clientError string

func (e clientError) Error() string { return string(e) }

const errClosed clientError = "client is closed"
