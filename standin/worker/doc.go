// Package worker provides a stand-in for the agents on the platform's workers. An
// Agent implements the agent's side of api/worker/v1 in full: epochs, grants,
// leases, sizes, checkpoints, throttles and delayed usage reports. The tasks that
// it runs are models that advance by an injected clock. Server serves an agent on a
// gRPC socket, Fleet reaches agents in the same process.
//
// Faults make an agent or its connection fail. Each agent records what it ran
// and when, and Audit checks the records of all agents together.
package worker
