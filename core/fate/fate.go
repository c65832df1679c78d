package fate

// Fate is the fate of a request: whether a target ran it and answered.
type Fate uint8

// The fates. Unknown is the zero value, so that a fate that was not set makes no
// false promise.
const (
	// Unknown means that a target may have run the request or may be running it.
	Unknown Fate = iota
	// NotRun means that no target ran the request and none will run it.
	NotRun
	// Answered means that a complete answer of a target was received.
	Answered
)

var fateNames = [...]string{"unknown", "not-run", "answered"}

// String returns the name of the fate as callers see it.
func (f Fate) String() string {
	if int(f) >= len(fateNames) {
		return "invalid"
	}
	return fateNames[f]
}

// Combine returns the fate of a request whose earlier exchanges have the combined
// fate f and whose latest exchange has the fate last. A request that a target may have
// run remains Unknown until it is answered, even if a later exchange certainly did not
// run it.
func (f Fate) Combine(last Fate) Fate {
	if last == Answered {
		return Answered
	}
	if f == NotRun && last == NotRun {
		return NotRun
	}
	return Unknown
}

// Stage is the stage that an exchange with a target has reached.
type Stage uint8

// The stages, in the order in which an exchange passes through them.
const (
	// BeforeConnect means that no connection was requested.
	BeforeConnect Stage = iota
	// Connecting means that a connection was requested but not established.
	Connecting
	// SendingHead means that the connection was established but the head of the
	// request was not written completely.
	SendingHead
	// SendingBody means that the head of the request was written completely but the
	// body was not.
	SendingBody
	// AwaitingHead means that the request was written completely but no byte of an
	// answer was received.
	AwaitingHead
	// ReadingHead means that a part of the answer's head was received.
	ReadingHead
	// ReadingBody means that the answer's head was received completely but the body
	// was not.
	ReadingBody
	// AfterEnd means that the answer was received completely.
	AfterEnd
	// NotStarted means that the target declared that it did not start the request.
	NotStarted

	// NumStages is the number of stages.
	NumStages = int(NotStarted) + 1
)

var stageNames = [NumStages]string{
	"before connect", "connecting", "sending head", "sending body",
	"awaiting head", "reading head", "reading body", "after end", "not started",
}

// String returns the name of the stage.
func (s Stage) String() string {
	if int(s) >= NumStages {
		return "invalid"
	}
	return stageNames[s]
}

// Sent is the amount of a request that was handed to the network.
type Sent uint8

// The amounts of a request.
const (
	SentNothing Sent = iota
	SentPart
	SentAll

	// NumSent is the number of amounts.
	NumSent = int(SentAll) + 1
)

var sentNames = [NumSent]string{"nothing", "part", "all"}

// String returns the name of the amount.
func (s Sent) String() string {
	if int(s) >= NumSent {
		return "invalid"
	}
	return sentNames[s]
}

// Of returns the fate of an exchange that ended in a stage after the amount sent of the
// request was handed to the network.
func Of(stage Stage, sent Sent) Fate {
	switch stage {
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
