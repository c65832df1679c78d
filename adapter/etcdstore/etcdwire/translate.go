package etcdwire

import (
	"time"

	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
	"github.com/guavarill/guavarill/port"
)

// allKeys selects every key when it is both the key and the range end.
const allKeys = "\x00"

// GetRequest returns the request that reads one key.
func GetRequest(key string) *etcdv3.RangeRequest {
	return &etcdv3.RangeRequest{Key: []byte(key)}
}

// ListRequest returns the request that reads all keys that begin with prefix.
func ListRequest(prefix string) *etcdv3.RangeRequest {
	key, end := PrefixRange(prefix)
	return &etcdv3.RangeRequest{Key: key, RangeEnd: end}
}

// WatchRequest returns the request that creates a watch on all keys that begin
// with prefix. The watch reports the changes after the revision after, not
// those of that revision.
func WatchRequest(prefix string, after int64) *etcdv3.WatchRequest {
	key, end := PrefixRange(prefix)
	create := &etcdv3.WatchCreateRequest{Key: key, RangeEnd: end, StartRevision: after + 1}
	return &etcdv3.WatchRequest{RequestUnion: &etcdv3.WatchRequest_CreateRequest{CreateRequest: create}}
}

// PrefixRange returns the key and the range end (exclusive) that select all keys
// that begin with prefix. An empty prefix selects every key.
func PrefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte(allKeys), []byte(allKeys)
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte(allKeys)
}

// TxnRequest returns the transaction that makes all changes if all conditions
// hold, and none otherwise.
func TxnRequest(conditions []port.Condition, changes []port.Op) *etcdv3.TxnRequest {
	req := &etcdv3.TxnRequest{
		Compare: make([]*etcdv3.Compare, len(conditions)),
		Success: make([]*etcdv3.RequestOp, len(changes)),
	}
	for i := range conditions {
		req.Compare[i] = compare(&conditions[i])
	}
	for i := range changes {
		req.Success[i] = requestOp(&changes[i])
	}
	return req
}

func compare(c *port.Condition) *etcdv3.Compare {
	cmp := &etcdv3.Compare{Key: []byte(c.Key), Result: etcdv3.Compare_EQUAL}
	switch c.Kind {
	case port.CompareCreateRevision:
		cmp.Target = etcdv3.Compare_CREATE
		cmp.TargetUnion = &etcdv3.Compare_CreateRevision{CreateRevision: c.Revision}
	default:
		cmp.Target = etcdv3.Compare_MOD
		cmp.TargetUnion = &etcdv3.Compare_ModRevision{ModRevision: c.Revision}
	}
	return cmp
}

func requestOp(op *port.Op) *etcdv3.RequestOp {
	if op.Delete {
		del := &etcdv3.DeleteRangeRequest{Key: []byte(op.Key), RangeEnd: []byte(op.RangeEnd)}
		return &etcdv3.RequestOp{Request: &etcdv3.RequestOp_RequestDeleteRange{RequestDeleteRange: del}}
	}
	put := &etcdv3.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64(op.Lease)}
	return &etcdv3.RequestOp{Request: &etcdv3.RequestOp_RequestPut{RequestPut: put}}
}

// LargestValue returns the size in bytes of the largest value among changes, or
// 0 if there is none.
func LargestValue(changes []port.Op) int {
	largest := 0
	for i := range changes {
		largest = max(largest, len(changes[i].Value))
	}
	return largest
}

// KeyValue converts a stored key. It returns the zero KeyValue for nil.
func KeyValue(kv *etcdv3.KeyValue) port.KeyValue {
	return port.KeyValue{
		Key:            string(kv.GetKey()),
		Value:          kv.GetValue(),
		CreateRevision: kv.GetCreateRevision(),
		ModRevision:    kv.GetModRevision(),
		Lease:          port.LeaseID(kv.GetLease()),
	}
}

// KeyValues converts the keys of a response and keeps their order.
func KeyValues(kvs []*etcdv3.KeyValue) []port.KeyValue {
	out := make([]port.KeyValue, len(kvs))
	for i, kv := range kvs {
		out[i] = KeyValue(kv)
	}
	return out
}

// WatchEvent converts one change. For a deleted key, the protocol reports the
// revision of the deletion as the key's modification revision.
func WatchEvent(ev *etcdv3.Event) port.WatchEvent {
	return port.WatchEvent{
		KeyValue: KeyValue(ev.GetKv()),
		Deleted:  ev.GetType() == etcdv3.Event_DELETE,
		Revision: ev.GetKv().GetModRevision(),
	}
}

// TTLSeconds returns ttl in whole seconds, the protocol's unit. It rounds up, to
// at least 1, so that a lease never lasts less than requested.
func TTLSeconds(ttl time.Duration) int64 {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	return max(seconds, 1)
}
