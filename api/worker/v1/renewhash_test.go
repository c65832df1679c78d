package workerv1_test

import (
	"testing"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
)

func set(list ...*workerv1.TaskAttempt) []*workerv1.TaskAttempt { return list }

func attempt(task string, number uint32) *workerv1.TaskAttempt {
	return &workerv1.TaskAttempt{Task: task, Attempt: number}
}

// Symptom: an agent renews attempts that its owner has given up, or none at all
// though both agree.
// Sequence: the sets of owner and agent differ in one attempt, in a number, or
// in where one name ends; or an agent was built by the published description.
// Cause: the hash leaves out what differs, or is not the one described.
func TestRenewHash(t *testing.T) {
	if got := workerv1.RenewHash(nil); got != 0x34c96acdcadb1bbb {
		t.Errorf("empty set: %#x", got)
	}
	sorted := workerv1.RenewHash(set(attempt("a", 2), attempt("b", 1)))
	if got := workerv1.RenewHash(set(attempt("b", 1), attempt("a", 2))); got != sorted {
		t.Error("order matters")
	}
	seen := make(map[uint64]int)
	for i, s := range [][]*workerv1.TaskAttempt{
		nil,
		set(attempt("a", 1)),
		set(attempt("a", 2)),
		set(attempt("b", 1)),
		set(attempt("a", 2), attempt("b", 1)),
		set(attempt("a", 1), attempt("b", 2)),
		set(attempt("a", 1), attempt("a", 1)),
		set(attempt("ab", 1), attempt("c", 1)),
		set(attempt("a", 1), attempt("bc", 1)),
	} {
		hash := workerv1.RenewHash(s)
		if other, twice := seen[hash]; twice {
			t.Errorf("sets %d and %d have the same hash", other, i)
		}
		seen[hash] = i
	}
}
