package job

import (
	"bytes"
	"testing"
)

// FuzzDecodeAccepted: whatever another writer has stored, reading it ends with a
// record or an error; and a record that was read is stored again as the same.
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

// FuzzDecodeProgress is FuzzDecodeAccepted for progress, and compares it with a
// declaration besides.
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
