package membership

// Stats counts events since the Machine was created.
type Stats struct {
	// Rounds and Exchanges count the rounds and exchanges started; Failures
	// counts the exchanges that failed.
	Rounds    uint64
	Exchanges uint64
	Failures  uint64
	// Suspicions counts members that became suspect by this daemon's own
	// failures; Recoveries counts suspects that responded or refuted.
	Suspicions uint64
	Recoveries uint64
	// Refutations counts raises of this daemon's own incarnation.
	Refutations uint64
	// Removals counts members that this daemon declared dead.
	Removals uint64
	// RemovalsHeld counts rounds in which the removal of a member was due but
	// held back for insufficient evidence, for example without a reachable
	// majority.
	RemovalsHeld uint64
	// StaleRecords counts records refused because of a lower incarnation.
	StaleRecords uint64
	// AddressConflicts counts members whose address is also that of another
	// member.
	AddressConflicts uint64
	// Interruptions counts pauses of this daemon itself.
	Interruptions uint64
	// ListErrors counts failed reads of the platform's list. ListsRejected
	// counts lists that were empty or lacked most of the VMs of the list
	// before.
	ListErrors    uint64
	ListsRejected uint64
}
