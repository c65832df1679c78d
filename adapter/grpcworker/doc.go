// Package grpcworker implements port.Workers by gRPC calls to the agents on
// workers (api/worker/v1).
package grpcworker
