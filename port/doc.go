// Package port declares the interfaces through which guavarill meets the
// platform: its key-value service, its list of VMs, the agents on workers,
// and the daemons' view of each other; and the types of failure that cross
// them. Adapters implement these interfaces over real protocols; the core
// packages know neither.
package port
