package job

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// ID is the name that a caller gives to a job: 16 hexadecimal digits.
type ID string

// idLength is the number of digits of an ID.
const idLength = 16

// ParseID reads a job's id. An error is an *InvalidError.
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

// TaskKey is the identity of one task of a job.
type TaskKey struct {
	Job ID
	// Occurrence numbers the repetitions of the job from 0.
	Occurrence int
	// Step and Index number the job's steps and the step's tasks from 0.
	Step, Index int
}

// String returns the key in the form id.occurrence.step.index, which is the
// task's name towards workers.
func (k TaskKey) String() string {
	b := make([]byte, 0, idLength+12)
	b = append(b, k.Job...)
	for _, n := range [...]int{k.Occurrence, k.Step, k.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// Compare orders keys by job, occurrence, step and index.
func (k TaskKey) Compare(other TaskKey) int {
	return cmp.Or(
		cmp.Compare(k.Job, other.Job), cmp.Compare(k.Occurrence, other.Occurrence),
		cmp.Compare(k.Step, other.Step), cmp.Compare(k.Index, other.Index),
	)
}

// MarshalText implements encoding.TextMarshaler, for keys of stored maps.
func (k TaskKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An error is an *InvalidError.
func (k *TaskKey) UnmarshalText(text []byte) error {
	parsed, ok := ParseTaskKey(string(text))
	if !ok {
		return &InvalidError{Field: "task", Reason: fmt.Sprintf("must not be %q", text)}
	}
	*k = parsed
	return nil
}

// StepName returns the name of the task's step, id.occurrence.step.
func (k TaskKey) StepName() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// ParseTaskKey reads what TaskKey.String wrote. The second result is false
// when s is not in that form.
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
