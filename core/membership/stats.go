package membership

// Stats counts what a Machine did since it was made.
type Stats struct {
	// Rounds and Exchanges count periods begun and exchanges started; Failures
	// those exchanges that failed.
	Rounds    uint64
	Exchanges uint64
	Failures  uint64
	// Suspicions counts members that became suspect by own failures,
	// Recoveries suspects that answered or refuted.
	Suspicions uint64
	Recoveries uint64
	// Refutations counts raises of the own incarnation against a suspicion.
	Refutations uint64
	// Removals counts members that became dead here.
	Removals uint64
	// RemovalsHeld counts rounds in which a removal was due and not made because this
	// daemon reaches no majority.
	RemovalsHeld uint64
	// StaleRecords counts records refused for their incarnation.
	StaleRecords uint64
	// AddressConflicts counts members whose address another member with a
	// later start took over.
	AddressConflicts uint64
	// Interruptions counts times this daemon itself stood still.
	Interruptions uint64
	// ListErrors counts failed reads of the platform's list, ListsDistrusted
	// lists that were empty or lacked most of the VMs of the one before.
	ListErrors    uint64
	ListsRejected uint64
}
