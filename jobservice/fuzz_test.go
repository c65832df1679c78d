package jobservice

import (
	"bytes"
	"testing"

	"github.com/guavarill/guavarill/port"
)

// FuzzDecodeLedger: whatever another writer has stored, reading it ends with a
// record or an error; and a record that was read is stored again as the same.
func FuzzDecodeLedger(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := decodeLedger(port.KeyValue{Value: data, ModRevision: 1})
		if err != nil {
			return
		}
		stored := encodeRecord(record)
		again, err := decodeLedger(port.KeyValue{Value: stored, ModRevision: 1})
		if err != nil {
			t.Fatalf("%s is stored as %s: %v", data, stored, err)
		}
		if !bytes.Equal(stored, encodeRecord(again)) {
			t.Errorf("%s is stored as %s, and then as %s", data, stored, encodeRecord(again))
		}
	})
}

// FuzzDecodeRoster is FuzzDecodeLedger for the roster.
func FuzzDecodeRoster(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		roster, err := decodeRoster(port.KeyValue{Value: data, ModRevision: 1})
		if err != nil {
			return
		}
		stored := encodeRecord(roster)
		again, err := decodeRoster(port.KeyValue{Value: stored, ModRevision: 1})
		if err != nil {
			t.Fatalf("%s is stored as %s: %v", data, stored, err)
		}
		if !bytes.Equal(stored, encodeRecord(again)) {
			t.Errorf("%s is stored as %s, and then as %s", data, stored, encodeRecord(again))
		}
	})
}
