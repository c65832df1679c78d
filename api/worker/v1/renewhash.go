package workerv1

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RenewHash returns ApplyRequest.renew_hash of a set of attempts, and puts the
// attempts into the order in which the hash takes them.
func RenewHash(set []*TaskAttempt) uint64 {
	slices.SortFunc(set, compareAttempts)
	text := binary.LittleEndian.AppendUint64(nil, uint64(len(set)))
	for _, t := range set {
		text = binary.LittleEndian.AppendUint32(text, uint32(len(t.GetTask())))
		text = append(text, t.GetTask()...)
		text = binary.LittleEndian.AppendUint32(text, t.GetAttempt())
	}
	// 0 says that there is no hash.
	return max(1, xxhash.Sum64(text))
}

func compareAttempts(a, b *TaskAttempt) int {
	return cmp.Or(cmp.Compare(a.GetTask(), b.GetTask()), cmp.Compare(a.GetAttempt(), b.GetAttempt()))
}
