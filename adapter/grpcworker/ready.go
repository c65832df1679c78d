package grpcworker

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// waitReady waits until cc is connected. It is separate from the call to
// distinguish a failed connection, on which nothing was sent, from a lost response.
func waitReady(ctx context.Context, cc *grpc.ClientConn) error {
	for {
		state := cc.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.Idle:
			cc.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return &NotConnectedError{State: state}
		}
		if !cc.WaitForStateChange(ctx, state) {
			return &NotConnectedError{State: state, Cause: ctx.Err()}
		}
	}
}
