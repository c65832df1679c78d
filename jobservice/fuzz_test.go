package jobservice

import (
	"bytes"
	"testing"

	"github.com/guavarill/guavarill/port"
)

// FuzzDecodeLedger checks that decoding any stored value returns a record or an
// error, and that a decoded record is the same after it has been encoded and decoded
// again.
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

// FuzzDecodeRoster checks the same as FuzzDecodeLedger for the roster.
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
