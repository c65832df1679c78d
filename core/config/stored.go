package config

import (
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// deterministic encodes equal configurations as equal bytes.
var deterministic = proto.MarshalOptions{Deterministic: true}

// Marshal returns the value to store: the encoded message, compressed. The error
// is a *DecodeError.
//
// The document and the remaining fields are compressed as two gzip members. The
// size of the value is the sum of theirs, so a manifest that is too large for
// the store is detected before the remaining fields are known. The concatenated
// encodings of two parts of a protobuf message decode as the message.
func (a *Accepted) Marshal() ([]byte, error) {
	rest := a.Encode()
	document := &ledgerv1.Manifest{Document: rest.GetDocument()}
	rest.Document = nil
	var value []byte
	for _, part := range []*ledgerv1.Manifest{document, rest} {
		encoded, err := deterministic.Marshal(part)
		if err != nil {
			return nil, &DecodeError{Kind: DecodeEnvelope, Cause: err}
		}
		value = append(value, manifest.Compress(encoded)...)
	}
	return value, nil
}

// Unmarshal decodes a stored value. It also accepts an uncompressed value, as
// earlier versions stored it. For a key that does not exist it returns nil. The
// error is a *DecodeError.
func Unmarshal(kv port.KeyValue) (*Accepted, error) {
	if kv.ModRevision == 0 {
		return nil, nil
	}
	encoded := kv.Value
	if manifest.IsCompressed(encoded) {
		var err error
		if encoded, err = manifest.Decompress(encoded, manifest.MaxEncodedBytes); err != nil {
			return nil, &DecodeError{Kind: DecodeCompression, Subject: kv.Key, Cause: err}
		}
	}
	m := &ledgerv1.Manifest{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return nil, &DecodeError{Kind: DecodeEnvelope, Subject: kv.Key, Cause: err}
	}
	return Decode(m)
}

// MarshalHead returns the value of the head key: a message of the same type in
// which only the revision is set. The error is a *DecodeError.
func MarshalHead(revision model.Revision) ([]byte, error) {
	value, err := deterministic.Marshal(&ledgerv1.Manifest{Revision: uint64(revision)})
	if err != nil {
		return nil, &DecodeError{Kind: DecodeEnvelope, Cause: err}
	}
	return value, nil
}

// UnmarshalHead decodes a value returned by MarshalHead. For a key that does not
// exist it returns 0. The error is a *DecodeError.
func UnmarshalHead(kv port.KeyValue) (model.Revision, error) {
	if kv.ModRevision == 0 {
		return 0, nil
	}
	m := &ledgerv1.Manifest{}
	if err := proto.Unmarshal(kv.Value, m); err != nil {
		return 0, &DecodeError{Kind: DecodeEnvelope, Subject: kv.Key, Cause: err}
	}
	if m.GetRevision() == 0 {
		return 0, &DecodeError{Kind: DecodeRevision, Subject: kv.Key}
	}
	return model.Revision(m.GetRevision()), nil
}
