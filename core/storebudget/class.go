package storebudget

// Class orders calls by what waiting would cost.
type Class uint8

// The classes, most urgent first within reads and within writes.
const (
	// ClassLease is a grant, renewal or revocation of a lease.
	ClassLease Class = iota
	// ClassCommit is a transaction.
	ClassCommit
	// ClassReadBack is a read that settles a change whose outcome is unknown.
	ClassReadBack
	// ClassRead is a read that something waits for.
	ClassRead
	// ClassWatch is the opening of a watch.
	ClassWatch
	// ClassPoll is a periodic read that may as well happen later.
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
	// Answered: the store decided the call, whatever the answer.
	Answered Result = iota
	// Failed: no answer, or one that says that the store cannot work.
	Failed
	// Overloaded: the store refused the call for its rate.
	Overloaded
)

// lane is a group of classes that fail together.
type laneID uint8

const (
	laneLease laneID = iota
	laneWrite
	laneRead

	laneCount
)

type bucketID uint8

const (
	bucketWrites bucketID = iota
	bucketReads

	bucketCount
)

// policy is what sets a class apart.
type policy struct {
	lane   laneID
	bucket bucketID
	// reserve is how many tokens the class leaves to more urgent ones.
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
