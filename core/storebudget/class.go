package storebudget

// Class orders calls by the cost of delaying them.
type Class uint8

// The classes, most urgent first within reads and within writes.
const (
	// ClassLease is a grant, renewal or revocation of a lease.
	ClassLease Class = iota
	// ClassCommit is a transaction.
	ClassCommit
	// ClassReadBack is a read that determines the outcome of a change whose
	// result is unknown.
	ClassReadBack
	// ClassRead is a read whose result is needed now.
	ClassRead
	// ClassWatch is the opening of a watch.
	ClassWatch
	// ClassPoll is a periodic read that can be delayed.
	ClassPoll

	classCount
)

var classNames = [classCount]string{"lease", "commit", "read-back", "read", "watch", "poll"}

// String returns the class's name.
func (c Class) String() string {
	if c >= classCount {
		return "invalid"
	}
	return classNames[c]
}

// Result is how a call ended, as far as the budget is concerned.
type Result uint8

// The results.
const (
	// Answered: the store decided the call, whatever the outcome.
	Answered Result = iota
	// Failed: there was no response, or one that reports that the store cannot
	// work.
	Failed
	// Overloaded: the store refused the call because of its rate.
	Overloaded
)

// laneID identifies a lane, a group of classes that fail together.
type laneID uint8

const (
	laneLease laneID = iota
	laneWrite
	laneRead

	laneCount
)

// bucketID identifies the bucket from which calls take their tokens.
type bucketID uint8

const (
	bucketWrites bucketID = iota
	bucketReads

	bucketCount
)

// policy is how calls of a class are limited.
type policy struct {
	lane   laneID
	bucket bucketID
	// reserve is how many tokens the class leaves for more urgent ones.
	reserve float64
}

var policies = [classCount]policy{
	ClassLease:    {lane: laneLease, bucket: bucketWrites, reserve: 0},
	ClassCommit:   {lane: laneWrite, bucket: bucketWrites, reserve: 1},
	ClassReadBack: {lane: laneRead, bucket: bucketReads, reserve: 0},
	ClassRead:     {lane: laneRead, bucket: bucketReads, reserve: 1},
	ClassWatch:    {lane: laneRead, bucket: bucketReads, reserve: 2},
	ClassPoll:     {lane: laneRead, bucket: bucketReads, reserve: 3},
}
