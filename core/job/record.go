package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/guavarill/guavarill/core/model"
)

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Canceled  State = "canceled"
)

// Final reports whether a job in this state never changes its state again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Canceled }

// RecordError reports a stored record that cannot be decoded or is not valid.
type RecordError struct {
	Kind  string
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("stored %s: %v", e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Accepted is the stored record of an accepted job. It is written when the job
// is accepted and again if the job is canceled, and is deleted when the job's
// state is final.
type Accepted struct {
	Spec Spec `json:"spec"`
	// Queue is the queue's configuration at the time of acceptance.
	Queue Queue `json:"queue"`
	// ConfigVersion is the version of the configuration that Queue is from.
	ConfigVersion uint64 `json:"configVersion"`
	// AcceptedAtMs is when the job was accepted, by the accepting daemon's clock,
	// as Unix time in milliseconds.
	AcceptedAtMs int64 `json:"atMs"`
	Canceled     bool  `json:"canceled,omitempty"`
	// CanceledAtMs is when the job was canceled, by the clock of the daemon that
	// received the request, as Unix time in milliseconds; 0 if the job was not
	// canceled or the time is unknown.
	CanceledAtMs int64 `json:"canceledAtMs,omitempty"`
}

// Progress is the stored record of the progress of a job's tasks. Only the
// scheduling daemon, the leader, writes it. It is kept for some time after the
// job's state is final.
type Progress struct {
	State State `json:"state"`
	// Queue identifies the job's queue. Jobs of different queues do not share an id.
	Queue QueueFingerprint `json:"queue,omitempty"`
	// FinalAtMs is when the job reached its final state, by the leader's clock,
	// as Unix time in milliseconds; 0 if the state is not final or the time is
	// unknown.
	FinalAtMs int64 `json:"overAtMs,omitempty"`
	// Begun is how many repetitions have begun, and 0 if all of them are in
	// Occurrences. Those below it that are not in Occurrences are done.
	Begun int `json:"begun,omitempty"`
	// Occurrences holds the repetitions that have begun and are not done, and, as long
	// as there are few, those that are done, by number; it is empty in a final state.
	Occurrences map[int]OccurrenceProgress `json:"occurrences,omitempty"`
	Restarts    Restarts                   `json:"restarts,omitempty"`
}

// Restarts maps each task that was started again while the outcome of an earlier
// attempt was unknown to the number of the last such attempt. If an earlier
// attempt is later reported as done, its end must not be acknowledged.
type Restarts map[TaskKey]int

// OccurrenceProgress is the progress of one repetition of a job.
type OccurrenceProgress struct {
	// Done is whether all tasks are done; Steps is empty then.
	Done  bool           `json:"done,omitempty"`
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is the progress of the tasks of one step.
type StepProgress struct {
	// Done has one character for each task, in the order of their indexes: '1'
	// for a task that is done and '0' for one that is not. It is empty if no
	// task is done.
	Done string `json:"done,omitempty"`
	// Tasks holds the progress of tasks that are not done, by index. Tasks
	// without an entry have nothing to record beyond a first attempt.
	Tasks map[int]TaskProgress `json:"tasks,omitempty"`
	// Stalls is how often the time has doubled for which an attempt of any task, done
	// or not, may make no progress.
	Stalls int `json:"stalls,omitempty"`
}

// TaskProgress is the progress of one task that is not done.
type TaskProgress struct {
	// Attempts is the highest attempt number that may have been used.
	Attempts int `json:"attempts,omitempty"`
	// Failed lists the numbers of the attempts that failed. A worker repeats the
	// report of a failure until it is acknowledged, which happens after the
	// failure is stored, so the next leader may receive the report again and in
	// another order; the numbers keep a failure from being counted twice.
	Failed     []int  `json:"failed,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Crashes lists the attempts that ended when their worker crashed, in the
	// order of their numbers. Crashes before the last long run are dropped.
	Crashes []Crash `json:"crashes,omitempty"`
	// Stalls is how often the time has doubled for which an attempt may make no
	// progress.
	Stalls int `json:"stalls,omitempty"`
	// Trial is set while an attempt may have been started after a crash and its
	// end is not stored yet.
	Trial *Trial `json:"trial,omitempty"`
}

// Trial records an attempt of a task that may have crashed a worker. It is
// stored before the attempt is started. A leader that takes over and finds that
// the worker has ended as well counts the attempt as a crash.
type Trial struct {
	// Attempt is the attempt's number, or a lower one.
	Attempt int `json:"n"`
	// Worker is the worker on which the attempt is started; empty if it may be
	// any worker. StartedMs is when the worker's incarnation was started, as in
	// model.Incarnation; 0 if that is unknown.
	Worker    model.WorkerID `json:"worker,omitempty"`
	StartedMs int64          `json:"startedMs,omitempty"`
}

// Incarnation returns the incarnation of the trial's worker.
func (t Trial) Incarnation() model.Incarnation {
	return model.Incarnation{ID: t.Worker, StartedMs: t.StartedMs}
}

// Crash records an attempt that ended when its worker crashed.
type Crash struct {
	Attempt int `json:"n"`
	// ObservedRunMs is how long the worker's reports showed the attempt running,
	// in milliseconds; 0 if no report listed it, ObservedRunUnknown if the start
	// of the run is unknown.
	ObservedRunMs int64 `json:"ms"`
	// Uncertain is whether the task may not have been involved: the attempt may
	// never have run because its start was not acknowledged, or the worker may
	// have left as it had announced.
	Uncertain bool `json:"unsure,omitempty"`
	// Correlated is whether several other workers that ran no attempt of the
	// task's step ended at about the same time. The task is then not the only
	// possible cause.
	Correlated bool `json:"several,omitempty"`
	// Shared is whether other tasks under which workers had crashed were tried on
	// the worker as well, so that any of them may be the cause.
	Shared bool `json:"shared,omitempty"`
	// CountsAnew is whether no crash that was not counted precedes it: those before were
	// counted and dropped, or the ends of all earlier attempts are known.
	CountsAnew bool `json:"anew,omitempty"`
	// Followed is whether a later attempt, before the next crash, ended otherwise than
	// with its worker and before it had run for long.
	Followed bool `json:"followed,omitempty"`
}

// ObservedRunUnknown is the value of Crash.ObservedRunMs if the leader that
// recorded the crash does not know when the attempt began, as for an attempt
// that an earlier leader started.
const ObservedRunUnknown = -1

// Encode returns the stored form of the record.
func (a *Accepted) Encode() []byte { return encode(a) }

// Encode returns the stored form of the record.
func (p *Progress) Encode() []byte { return encode(p) }

// encode returns the JSON form of v. It panics if v cannot be encoded, which no
// type of this package causes.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeRecord decodes the stored form of a record into v. It returns a
// *RecordError with the given kind if that fails. It rejects null, which would
// otherwise be decoded as a record whose fields are all zero.
func DecodeRecord(kind string, data []byte, v any) error {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return &RecordError{Kind: kind, Cause: &InvalidError{Field: "the record", Reason: "must not be null"}}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &RecordError{Kind: kind, Cause: err}
	}
	return nil
}

// DecodeAccepted decodes the record of an accepted job. It returns a
// *RecordError if the data cannot be decoded or describes a job that cannot have
// been accepted, for example because another writer has changed parts of it. A job that
// an earlier version accepted may exceed the limits of Spec.CheckLimits.
func DecodeAccepted(data []byte) (*Accepted, error) {
	a := new(Accepted)
	if err := DecodeRecord(kindAccepted, data, a); err != nil {
		return nil, err
	}
	if err := a.check(); err != nil {
		return nil, &RecordError{Kind: kindAccepted, Cause: err}
	}
	a.bound()
	return a, nil
}

// DecodeProgress decodes a record of progress. It returns a *RecordError if the
// data cannot be decoded or is not a record that a leader can have written.
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

// The kinds of records named in errors.
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
	if err := p.checkOccurrences(); err != nil {
		return err
	}
	for _, o := range p.Occurrences {
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
		return &InvalidError{Field: "done", Reason: "must consist of the digits 0 and 1"}
	}
	if s.Stalls < 0 {
		return &InvalidError{Field: "stalls", Reason: "must not be negative"}
	}
	for index, t := range s.Tasks {
		if index < 0 || t.Attempts < 0 || t.Stalls < 0 || t.Trial != nil && t.Trial.Attempt < 1 {
			return &InvalidError{Field: "tasks", Reason: "must have no negative numbers"}
		}
	}
	return nil
}

// CheckAgainst returns a *RecordError if the progress cannot belong to a job with
// the given declaration. With such a record, tasks that are done could be run
// again and tasks that are not done could be skipped.
func (p *Progress) CheckAgainst(spec *Spec) error {
	if p.State.Final() {
		return nil
	}
	repetitions := spec.Repetitions()
	if p.Begun > repetitions {
		return &RecordError{Kind: kindProgress, Cause: &InvalidError{
			Field: "begun", Reason: fmt.Sprintf("must be at most %d, the job's repetitions", repetitions),
		}}
	}
	for number, o := range p.Occurrences {
		if p.isPlaceholder(number) {
			continue
		}
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
