package fate

// Fate is what became of a request.
type Fate uint8

// The fates. The zero value is Unknown, so that an omission is never read as
// a promise.
const (
	// Unknown: a target may have run the request, may be running it, or may
	// not.
	Unknown Fate = iota
	// NotRun: no target ran the request, and none will on account of it.
	NotRun
	// Answered: a target's whole answer was received.
	Answered
)

var fateNames = [...]string{"unknown", "not-run", "answered"}

// String returns the fate's name as callers see it.
func (f Fate) String() string {
	if int(f) >= len(fateNames) {
		return "invalid"
	}
	return fateNames[f]
}

// Combine returns the fate of a request whose earlier exchanges ended in f and
// whose latest one ended in last. A request that may have been run once stays
// so until an answer comes: a later exchange that certainly did not run takes
// nothing back.
func (f Fate) Combine(last Fate) Fate {
	if last == Answered {
		return Answered
	}
	if f == NotRun && last == NotRun {
		return NotRun
	}
	return Unknown
}

// Stage is how far an exchange with a target got.
type Stage uint8

// The points, in the order in which an exchange passes them.
const (
	// BeforeConnect: no connection was asked for.
	BeforeConnect Stage = iota
	// Connecting: a connection was asked for and not had.
	Connecting
	// SendingHead: the connection stood; the head was not yet all written.
	SendingHead
	// SendingBody: the head was written, the body not yet all.
	SendingBody
	// AwaitingHead: all was written and no byte of an answer came.
	AwaitingHead
	// ReadingHead: a part of the answer's head came.
	ReadingHead
	// ReadingBody: the head came whole, the body not.
	ReadingBody
	// AfterEnd: the answer came whole.
	AfterEnd
	// NotStarted: the target said that it did not start the request.
	NotStarted

	// NumStages is how many points there are.
	NumStages = int(NotStarted) + 1
)

var stageNames = [NumStages]string{
	"before connect", "connecting", "sending head", "sending body",
	"awaiting head", "reading head", "reading body", "after end", "not started",
}

// String returns the point's name.
func (p Stage) String() string {
	if int(p) >= NumStages {
		return "invalid"
	}
	return stageNames[p]
}

// Sent is how much of a request was handed to the network.
type Sent uint8

// The amounts.
const (
	SentNothing Sent = iota
	SentPart
	SentAll

	// NumSent is how many amounts there are.
	NumSent = int(SentAll) + 1
)

var sentNames = [NumSent]string{"nothing", "part", "all"}

// String returns the amount's name.
func (s Sent) String() string {
	if int(s) >= NumSent {
		return "invalid"
	}
	return sentNames[s]
}

// Of returns the fate of an exchange that ended at p with sent of the request
// handed to the network.
func Of(p Stage, sent Sent) Fate {
	switch p {
	case AfterEnd:
		return Answered
	case NotStarted:
		return NotRun
	case BeforeConnect, Connecting, SendingHead, SendingBody:
		if sent == SentNothing {
			return NotRun
		}
	}
	return Unknown
}
