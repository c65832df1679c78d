package job

import (
	"bytes"
	"testing"
)

// FuzzDecodeAccepted checks that decoding arbitrary stored data returns a record
// or an error, and that a decoded record is encoded to a stable form.
func FuzzDecodeAccepted(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeAccepted(data)
		if err != nil {
			return
		}
		stored := record.Encode()
		again, err := DecodeAccepted(stored)
		if err != nil {
			t.Fatalf("%s is stored as %s: %v", data, stored, err)
		}
		if !bytes.Equal(stored, again.Encode()) {
			t.Errorf("%s is stored as %s, and then as %s", data, stored, again.Encode())
		}
	})
}

// FuzzDecodeProgress checks for records of progress what FuzzDecodeAccepted checks
// for accepted jobs. It also checks that encoding a record does not change whether
// it matches a declaration.
func FuzzDecodeProgress(f *testing.F) {
	spec := &Spec{Steps: []Step{{Count: 2}, {Count: 1}}, Schedule: &Schedule{Repetitions: 3}}
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeProgress(data)
		if err != nil {
			return
		}
		stored := record.Encode()
		again, err := DecodeProgress(stored)
		if err != nil {
			t.Fatalf("%s is stored as %s: %v", data, stored, err)
		}
		if !bytes.Equal(stored, again.Encode()) {
			t.Errorf("%s is stored as %s, and then as %s", data, stored, again.Encode())
		}
		if (record.CheckAgainst(spec) == nil) != (again.CheckAgainst(spec) == nil) {
			t.Errorf("%s fits a job only before or after it is stored", data)
		}
	})
}
