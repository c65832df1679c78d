package config

import (
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// deterministic gives equal configurations equal values.
var deterministic = proto.MarshalOptions{Deterministic: true}

// Marshal returns the value to put into the store: the encoded message,
// compressed. An error is a *DecodeError.
//
// The document and all else are members of their own. So the value's size is
// the sum of theirs, and a manifest can be found too large for the store before
// it is known what surrounds it there; the joined encodings of a message's parts
// are the encoding of the message.
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

// Unmarshal reads a value of the store, compressed or as it was before values
// were. A key that does not exist gives nil. An error is a *DecodeError.
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

// MarshalHead returns the value of the head key: the revision alone, as a
// message of the same type without anything else. An error is a *DecodeError.
func MarshalHead(revision model.Revision) ([]byte, error) {
	value, err := deterministic.Marshal(&ledgerv1.Manifest{Revision: uint64(revision)})
	if err != nil {
		return nil, &DecodeError{Kind: DecodeEnvelope, Cause: err}
	}
	return value, nil
}

// UnmarshalHead reads what MarshalHead wrote. A key that does not exist gives
// 0. An error is a *DecodeError.
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
