// Package worker stands in for the agents on the platform's workers. An Agent
// keeps the agent's side of api/worker/v1 in full: epochs, grants, leases,
// sizes, checkpoints, throttles and late usage reports; what it runs are
// models of tasks that advance by an injected clock. Server puts an agent on a
// gRPC socket, Fleet reaches agents in the same process.
//
// Faults make an agent or the way to it fail. Each agent records what it ran
// and when, and Audit checks the records of all agents together.
package worker
