// Package port declares the interfaces between guavarill and its environment:
// the platform's key-value service and list of VMs, the agents on workers, and
// the other daemons. It also declares the error types that these interfaces
// return. Adapters implement the interfaces over real protocols; the core
// packages do not depend on the adapters or their protocols.
package port
