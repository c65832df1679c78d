package job

import (
	"fmt"
	"math"
)

// UnstorableError reports a job whose progress record could become larger than the
// store accepts.
type UnstorableError struct {
	// Size is the size of its largest record in bytes.
	Size int
}

// Error implements error.
func (e *UnstorableError) Error() string {
	return fmt.Sprintf("the job has too many tasks: the record of its progress may take %d bytes, and the store accepts %d", e.Size, MaxRecordBytes)
}

// The progress record of a job is one value of the store. What it holds is bounded by
// the tasks of the occurrences that are open, so that a job whose record could become
// too large can be told when it is submitted.
const (
	// MaxRecordBytes is the size of the largest progress record. The platform's store
	// accepts no larger value.
	MaxRecordBytes = 1 << 20
	// MaxOpenOccurrences bounds the occurrences of a job that have begun and are not
	// stored as done. Jobs whose occurrences are large have a lower limit,
	// Spec.OpenOccurrences.
	MaxOpenOccurrences = 500
	// MaxCheckpointBytes is the size of the longest checkpoint that is stored, in its
	// JSON form. The platform's have 16 bytes.
	MaxCheckpointBytes = 64
	// MaxCrashes is how many crashes of workers under a task are stored.
	MaxCrashes = 5
	// MaxDoneRestarts bounds the restarts that are stored of tasks whose occurrences
	// are done.
	MaxDoneRestarts = 1000
	// maxAttempt is the largest attempt number that the size allows for.
	maxAttempt = math.MaxInt32
	// maxWorkerIDBytes is the length of the longest id of a worker: its entry's key in
	// the platform's store has at most 200 bytes.
	maxWorkerIDBytes = 200
)

// The sizes of the parts of the largest record, in bytes.
var (
	crashBytes   = len(encode(Crash{Attempt: maxAttempt, ObservedRunMs: math.MaxInt64, Uncertain: true, Correlated: true, Shared: true, CountsAnew: true})) + 1
	trialBytes   = len(encode(Trial{Attempt: maxAttempt, StartedMs: math.MaxInt64})) + len(`,"worker":""`) + maxWorkerIDBytes
	attemptBytes = len(encode(maxAttempt)) + 1
	// restartBytes is one entry of the restarts, and doneBytes one of an occurrence
	// that is listed as done.
	restartBytes = len(encode(Restarts{{Job: "0123456789abcdef", Occurrence: math.MaxInt, Step: MaxSteps, Index: MaxTasks}: maxAttempt}))
	doneBytes    = len(encode(map[int]OccurrenceProgress{math.MaxInt: {Done: true}}))
	// openBytes is an open occurrence without its steps.
	openBytes = len(encode(map[int]OccurrenceProgress{math.MaxInt: {}})) + len(`,"steps":[]`)
	// stepBytes is a step without its tasks. Fields that later versions add to a step
	// have room in it.
	stepBytes = len(`{"done":"","tasks":{}},`) + 64
	// fixedBytes is a record without occurrences and restarts of open ones.
	fixedBytes = len(encode(Progress{State: Completed, Queue: (&Queue{}).Fingerprint(), FinalAtMs: math.MaxInt64, Begun: math.MaxInt})) +
		len(`,"occurrences":{},"restarts":{}`) + maxListedDone*doneBytes + MaxDoneRestarts*restartBytes
)

// taskBytes returns the size of the largest record of one task, in bytes, with its
// restart. maxAttempts is how often a task of the queue may fail.
func taskBytes(maxAttempts int) int {
	return len(`1`) + len(`"20000":{"attempts":,"failed":[],"checkpoint":"","crashes":[],"stalls":,"trial":},`) +
		2*attemptBytes + maxAttempts*attemptBytes + MaxCheckpointBytes + MaxCrashes*crashBytes + trialBytes + restartBytes
}

// occurrenceBytes returns the size of the largest record of an open occurrence, in
// bytes.
func (s *Spec) occurrenceBytes(maxAttempts int) int {
	tasks, _ := s.Work()
	return openBytes + len(s.Steps)*stepBytes + tasks*taskBytes(maxAttempts)
}

// OpenOccurrences returns how many occurrences of the job may have begun without being
// stored as done, at least 1. maxAttempts is how often a task of the queue may fail.
func (s *Spec) OpenOccurrences(maxAttempts int) int {
	fitting := (MaxRecordBytes - fixedBytes) / s.occurrenceBytes(maxAttempts)
	return max(1, min(fitting, MaxOpenOccurrences))
}

// LargestRecord returns the size of the largest progress record that the job can have,
// in bytes.
func (s *Spec) LargestRecord(maxAttempts int) int {
	return fixedBytes + s.OpenOccurrences(maxAttempts)*s.occurrenceBytes(maxAttempts)
}

// CheckRecord returns an *UnstorableError if the job's progress record could become larger
// than MaxRecordBytes. A job for which it returns nil can always be stored. It is not a
// part of Check, because jobs that were accepted before it was checked must remain
// readable.
func (s *Spec) CheckRecord(maxAttempts int) error {
	if size := s.LargestRecord(maxAttempts); size > MaxRecordBytes {
		return &UnstorableError{Size: size}
	}
	return nil
}

// StorableCheckpoint returns the checkpoint, or "" if it is longer than a record can
// hold. The task then resumes without one after a takeover.
func StorableCheckpoint(checkpoint string) string {
	const escaped = len(`\u0000`)
	size := 0
	for _, b := range []byte(checkpoint) {
		switch {
		case b < ' ' || b > '~' || b == '"' || b == '\\' || b == '<' || b == '>' || b == '&':
			size += escaped
		default:
			size++
		}
		if size > MaxCheckpointBytes {
			return ""
		}
	}
	return checkpoint
}
