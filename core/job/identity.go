package job

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// ID is a job's identifier, chosen by its caller: 16 hexadecimal digits.
type ID string

// idLength is the number of digits in an ID.
const idLength = 16

// ParseID parses a job's id. It returns an *InvalidError unless s is 16
// hexadecimal digits.
func ParseID(s string) (ID, error) {
	if len(s) != idLength {
		return "", &InvalidError{Field: "id", Reason: "must have 16 hexadecimal digits"}
	}
	for _, c := range s {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return "", &InvalidError{Field: "id", Reason: "must have 16 hexadecimal digits"}
		}
	}
	return ID(s), nil
}

// TaskKey identifies one task of a job.
type TaskKey struct {
	Job ID
	// Occurrence is the number of the job's repetition, counted from 0.
	Occurrence int
	// Step is the number of the step within the job, and Index the number of
	// the task within the step; both count from 0.
	Step, Index int
}

// String returns the key in the form id.occurrence.step.index. Workers identify
// the task by this text.
func (k TaskKey) String() string {
	b := make([]byte, 0, idLength+12)
	b = append(b, k.Job...)
	for _, n := range [...]int{k.Occurrence, k.Step, k.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// Compare compares keys by job, occurrence, step and index. Its result is that
// of cmp.Compare.
func (k TaskKey) Compare(other TaskKey) int {
	return cmp.Or(
		cmp.Compare(k.Job, other.Job), cmp.Compare(k.Occurrence, other.Occurrence),
		cmp.Compare(k.Step, other.Step), cmp.Compare(k.Index, other.Index),
	)
}

// MarshalText implements encoding.TextMarshaler, so that TaskKey can be the key
// of a stored map.
func (k TaskKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an *InvalidError
// if text is not in the form of TaskKey.String.
func (k *TaskKey) UnmarshalText(text []byte) error {
	parsed, ok := ParseTaskKey(string(text))
	if !ok {
		return &InvalidError{Field: "task", Reason: fmt.Sprintf("must not be %q", text)}
	}
	*k = parsed
	return nil
}

// StepName returns the name of the task's step in the form id.occurrence.step.
func (k TaskKey) StepName() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// ParseTaskKey parses the form written by TaskKey.String. The second result is
// false if s is not in that form.
func ParseTaskKey(s string) (TaskKey, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskKey{}, false
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskKey{}, false
		}
		numbers[i] = n
	}
	id, err := ParseID(parts[0])
	return TaskKey{Job: id, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, err == nil
}
