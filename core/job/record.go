package job

import (
	"encoding/json"
	"fmt"
)

// State is what callers are told of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Canceled  State = "canceled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Canceled }

// RecordError is a stored record that cannot be read.
type RecordError struct {
	Kind  string
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("stored %s: %v", e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Accepted is the record of an accepted job. It exists until the job's state
// is final, and is written once, and once more when the job is canceled.
type Accepted struct {
	Spec Spec `json:"spec"`
	// Queue is as it was when the job was accepted.
	Queue Queue `json:"queue"`
	// ConfigVersion is the version that Queue is from.
	ConfigVersion uint64 `json:"configVersion"`
	// AtMs is when the job was accepted, in milliseconds since 1970 on the
	// accepting daemon's clock.
	AtMs     int64 `json:"atMs"`
	Canceled bool  `json:"canceled,omitempty"`
	// CanceledAtMs is when it was canceled, on the clock of the daemon that was
	// asked, in milliseconds since 1970; 0 if it was not, or that is not known.
	CanceledAtMs int64 `json:"canceledAtMs,omitempty"`
}

// Progress is the record of what a job's tasks have reached. It is written by
// the scheduling daemon alone, and outlives the job for a while.
type Progress struct {
	State State `json:"state"`
	// Occurrences holds those that began, by number; empty in a final state.
	Occurrences map[int]OccurrenceProgress `json:"occurrences,omitempty"`
}

// OccurrenceProgress is what the tasks of one repetition have reached.
type OccurrenceProgress struct {
	// Done is set when all tasks are; Steps is empty then.
	Done  bool           `json:"done,omitempty"`
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is what the tasks of one step have reached.
type StepProgress struct {
	// Done has a '1' for each task that is done, a '0' for the others; it is
	// empty when none is.
	Done string `json:"done,omitempty"`
	// Tasks holds what is to be known of tasks that are not done, by index.
	Tasks map[int]TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is what one task has reached.
type TaskProgress struct {
	// Attempts is the highest attempt number that may have been used.
	Attempts int `json:"attempts,omitempty"`
	// Failed lists the attempts that failed. A worker tells of a failure until
	// it hears that it is stored, so the next leader may be told of it again,
	// and in another order.
	Failed     []int  `json:"failed,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Encode returns the record's stored form.
func (a *Accepted) Encode() []byte { return encode(a) }

// Encode returns the record's stored form.
func (p *Progress) Encode() []byte { return encode(p) }

// encode marshals types of this package, whose fields all have a JSON form.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeAccepted reads a record. An error is a *RecordError.
func DecodeAccepted(data []byte) (*Accepted, error) {
	a := new(Accepted)
	if err := json.Unmarshal(data, a); err != nil {
		return nil, &RecordError{Kind: "accepted job", Cause: err}
	}
	return a, nil
}

// DecodeProgress reads a record. An error is a *RecordError.
func DecodeProgress(data []byte) (*Progress, error) {
	p := new(Progress)
	if err := json.Unmarshal(data, p); err != nil {
		return nil, &RecordError{Kind: "progress", Cause: err}
	}
	return p, nil
}
