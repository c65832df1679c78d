package joblog

import "github.com/guavarill/guavarill/core/job"

// The messages of log lines that this package evaluates or that operators look
// for. Daemons use these constants, so that the texts agree.
const (
	MessageProcessStarted       = "started"
	MessageJobAccepted          = "job accepted"
	MessageRequestRefused       = "request refused"
	MessageCancelRequested      = "job canceled by its caller"
	MessageJobTakenIn           = "job taken in"
	MessageJobSetAside          = "job set aside"
	MessageEntryRefused         = "entry refused by the store"
	MessageRosterLost           = "roster lost"
	MessageAttemptStarted       = "attempt started"
	MessageStartRefused         = "start refused"
	MessageStartUnanswered      = "start unanswered"
	MessageAttemptAdopted       = "attempt adopted"
	MessageAttemptStopped       = "attempt stopped"
	MessageAttemptEnded         = "attempt ended"
	MessageAttemptLost          = "attempt lost"
	MessageEndNotAcknowledged   = "end not acknowledged"
	MessageEndsNotReported      = "ends never told"
	MessageAttemptMissing       = "attempt not there"
	MessageStepWaits            = "step waits"
	MessageStartHeldBack        = "start held back"
	MessageJobResumed           = "job resumed after a take-over"
	MessageLeadershipAcquired   = "leads"
	MessageLeadershipContinued  = "goes on with the state it had"
	MessageStoreLost            = "lost the store; other daemons are asked"
	MessageStoreRegained        = "the store answers again"
	MessageLeaseNotRenewed      = "lost the lead: the store did not renew the lease"
	MessageDeposed              = "lost the lead to another daemon"
	MessageLeadershipReleased   = "gave the lead up"
	MessageLeadershipHandedOver = "hands the lead over to a daemon with more processors"
	MessageWorkerSilent         = "worker silent"
	MessageWorkerCrashed        = "worker crashed"
	MessageWorkerRestarted      = "worker started again"
	MessageCrashCounted         = "crash counted"
	MessageSizeOrderChanged     = "order of sizes changed"
	MessageZoneCordoned         = "zone cordoned"
	MessageCordonLifted         = "cordon lifted"
	MessageEntryUnusable        = "worker entry unusable"
	MessageEntryRepaired        = "worker entry good again"
	MessageEntryGone            = "worker entry gone"
	MessageLinesDropped         = "log lines dropped"
	MessageLeaderBehind         = "the leader is behind"
	MessageLeaderCaughtUp       = "the leader has caught up"
	MessageQueueLimited         = "queue begins to reject jobs"
	MessageQueueAcceptsAll      = "queue accepts all jobs again"
)

// JobFinalMessage returns the message for a job that has reached the final state
// s.
func JobFinalMessage(s job.State) string { return "job " + string(s) }
