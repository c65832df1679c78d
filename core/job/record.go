package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/guavarill/guavarill/core/model"
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
	// AcceptedAtMs is when the job was accepted, in milliseconds since 1970 on the
	// accepting daemon's clock.
	AcceptedAtMs int64 `json:"atMs"`
	Canceled     bool  `json:"canceled,omitempty"`
	// CanceledAtMs is when it was canceled, on the clock of the daemon that was
	// asked, in milliseconds since 1970; 0 if it was not, or that is not known.
	CanceledAtMs int64 `json:"canceledAtMs,omitempty"`
}

// Progress is the record of what a job's tasks have reached. It is written by
// the scheduling daemon alone, and outlives the job for a while.
type Progress struct {
	State State `json:"state"`
	// FinalAtMs is when the job came to its final state, in milliseconds since 1970 on
	// the clock of the daemon that led; 0 if it has not, or that is not known.
	FinalAtMs int64 `json:"overAtMs,omitempty"`
	// Occurrences holds those that began, by number; empty in a final state.
	Occurrences map[int]OccurrenceProgress `json:"occurrences,omitempty"`
	Restarts    Restarts                   `json:"restarts,omitempty"`
}

// Restarts holds tasks that were started again after an attempt of which nothing
// was heard, with the number of the last such start. Should the earlier attempt
// turn out to have been done, its end must not be acknowledged.
type Restarts map[TaskKey]int

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
	// Crashes lists the attempts that ended with their worker, in the order of their
	// numbers, from the last on that ran for long before.
	Crashes []Crash `json:"crashes,omitempty"`
	// Trial is set while an attempt may have been started after such an end, of which
	// it is not stored how it ended.
	Trial *Trial `json:"trial,omitempty"`
}

// Trial is the start of an attempt that is stored before it is made, for a task
// under which a worker may have crashed: whoever takes over and finds that the
// worker has ended, too, counts the attempt as ended with it.
type Trial struct {
	// Attempt is the attempt's number, or a lower one.
	Attempt int `json:"n"`
	// Worker is empty if it may be any. StartedMs is when its incarnation was started; 0 if
	// that is not known.
	Worker    model.WorkerID `json:"worker,omitempty"`
	StartedMs int64          `json:"startedMs,omitempty"`
}

// Incarnation returns the incarnation that the trial names.
func (t Trial) Incarnation() model.Incarnation {
	return model.Incarnation{ID: t.Worker, StartedMs: t.StartedMs}
}

// Crash is the end of an attempt with its worker.
type Crash struct {
	Attempt int `json:"n"`
	// ObservedRunMs is for how long the attempt had been seen to run, in milliseconds; 0 if
	// no report of its worker listed it, CrashTimeUnknown if that is not known.
	ObservedRunMs int64 `json:"ms"`
	// Uncertain is set when the attempt may never have run, as its start was not
	// answered, or its worker may have left as announced.
	Uncertain bool `json:"unsure,omitempty"`
	// Correlated is whether several other workers ended at about the same time, without an
	// attempt of the task's step.
	Correlated bool `json:"several,omitempty"`
}

// ObservedRunUnknown stands for the time of a crash of which a later leader heard.
const ObservedRunUnknown = -1

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

// DecodeRecord reads the stored form of a record into v. An error is a
// *RecordError with the kind. What is there without content is no record: it
// would be read as one whose fields are all zero.
func DecodeRecord(kind string, data []byte, v any) error {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return &RecordError{Kind: kind, Cause: &InvalidError{Field: "the record", Reason: "must not be null"}}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &RecordError{Kind: kind, Cause: err}
	}
	return nil
}

// DecodeAccepted reads a record. An error is a *RecordError: also for a job that
// cannot have been accepted, as when another writer has replaced parts of it.
func DecodeAccepted(data []byte) (*Accepted, error) {
	a := new(Accepted)
	if err := DecodeRecord(kindAccepted, data, a); err != nil {
		return nil, err
	}
	if err := a.check(); err != nil {
		return nil, &RecordError{Kind: kindAccepted, Cause: err}
	}
	return a, nil
}

// DecodeProgress reads a record. An error is a *RecordError: also for what no
// leader writes.
func DecodeProgress(data []byte) (*Progress, error) {
	p := new(Progress)
	if err := DecodeRecord(kindProgress, data, p); err != nil {
		return nil, err
	}
	if err := p.check(); err != nil {
		return nil, &RecordError{Kind: kindProgress, Cause: err}
	}
	return p, nil
}

// The kinds of records in errors.
const (
	kindAccepted = "accepted job"
	kindProgress = "progress"
)

func (a *Accepted) check() error {
	if a.Queue.Name == "" {
		return &InvalidError{Field: "queue.name", Reason: "must not be empty"}
	}
	return a.Spec.Check()
}

func (p *Progress) check() error {
	switch p.State {
	case Queued, Running, Completed, Failed, Canceled:
	default:
		return &InvalidError{Field: "state", Reason: fmt.Sprintf("must not be %q", p.State)}
	}
	for number, o := range p.Occurrences {
		if number < 0 {
			return &InvalidError{Field: "occurrences", Reason: "must be numbered from 0"}
		}
		for i := range o.Steps {
			if err := o.Steps[i].check(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *StepProgress) check() error {
	if strings.Trim(s.Done, "01") != "" {
		return &InvalidError{Field: "done", Reason: "must be of 0 and 1"}
	}
	for index, t := range s.Tasks {
		if index < 0 || t.Attempts < 0 || t.Trial != nil && t.Trial.Attempt < 1 {
			return &InvalidError{Field: "tasks", Reason: "must have no negative numbers"}
		}
	}
	return nil
}

// CheckAgainst returns a *RecordError unless the progress can be that of a job with the
// declaration: otherwise tasks that are done would be taken for tasks that are
// not, or the other way.
func (p *Progress) CheckAgainst(spec *Spec) error {
	if p.State.Final() {
		return nil
	}
	repetitions := 1
	if spec.Schedule != nil {
		repetitions = spec.Schedule.Repetitions
	}
	for number, o := range p.Occurrences {
		if number >= repetitions || !o.Done && !o.matches(spec) {
			return &RecordError{Kind: kindProgress, Cause: &InvalidError{
				Field: fmt.Sprintf("occurrence %d", number), Reason: "must have the job's steps and tasks",
			}}
		}
	}
	return nil
}

func (o *OccurrenceProgress) matches(spec *Spec) bool {
	if len(o.Steps) != len(spec.Steps) {
		return false
	}
	for i := range o.Steps {
		s, count := &o.Steps[i], spec.Steps[i].Count
		if s.Done != "" && len(s.Done) != count {
			return false
		}
		for index := range s.Tasks {
			if index >= count {
				return false
			}
		}
	}
	return true
}
