// Package grpcworker implements port.Workers with gRPC calls to the agents on
// workers (api/worker/v1).
package grpcworker
