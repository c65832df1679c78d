package store

import (
	"bytes"

	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
)

func invalid(text string) *etcdwire.Refusal {
	return &etcdwire.Refusal{Code: codes.InvalidArgument, Text: text}
}

func (s *state) rangeKeys(req *etcdv3.RangeRequest) (*etcdv3.RangeResponse, error) {
	if len(req.Key) == 0 {
		return nil, invalid(etcdwire.TextEmptyKey)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.readRange(req), nil
}

func (s *state) readRange(req *etcdv3.RangeRequest) *etcdv3.RangeResponse {
	kvs := s.between(req.Key, req.RangeEnd)
	resp := &etcdv3.RangeResponse{Header: s.header(), Count: int64(len(kvs))}
	if req.CountOnly {
		return resp
	}
	if req.Limit > 0 && int64(len(kvs)) > req.Limit {
		kvs = kvs[:req.Limit]
		resp.More = true
	}
	resp.Kvs = kvs
	if req.KeysOnly {
		resp.Kvs = withoutValues(kvs)
	}
	return resp
}

func withoutValues(kvs []*etcdv3.KeyValue) []*etcdv3.KeyValue {
	out := make([]*etcdv3.KeyValue, len(kvs))
	for i, kv := range kvs {
		out[i] = &etcdv3.KeyValue{
			Key: kv.Key, Lease: kv.Lease, Version: kv.Version,
			CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision,
		}
	}
	return out
}

func (s *state) put(req *etcdv3.PutRequest) (*etcdv3.PutResponse, error) {
	op := &etcdv3.RequestOp{Request: &etcdv3.RequestOp_RequestPut{RequestPut: req}}
	resp, err := s.txn(&etcdv3.TxnRequest{Success: []*etcdv3.RequestOp{op}})
	if err != nil {
		return nil, err
	}
	answer := resp.Responses[0].GetResponsePut()
	answer.Header = resp.Header
	return answer, nil
}

func (s *state) deleteRange(req *etcdv3.DeleteRangeRequest) (*etcdv3.DeleteRangeResponse, error) {
	op := &etcdv3.RequestOp{Request: &etcdv3.RequestOp_RequestDeleteRange{RequestDeleteRange: req}}
	resp, err := s.txn(&etcdv3.TxnRequest{Success: []*etcdv3.RequestOp{op}})
	if err != nil {
		return nil, err
	}
	answer := resp.Responses[0].GetResponseDeleteRange()
	answer.Header = resp.Header
	return answer, nil
}

func (s *state) txn(req *etcdv3.TxnRequest) (*etcdv3.TxnResponse, error) {
	if err := s.checkTxn(req); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	succeeded := s.holds(req.Compare)
	ops := req.Failure
	if succeeded {
		ops = req.Success
	}
	if !s.leasesExist(ops) {
		return nil, errLeaseNotFound
	}
	c := s.begin()
	resp := &etcdv3.TxnResponse{Succeeded: succeeded}
	for _, op := range ops {
		resp.Responses = append(resp.Responses, c.apply(op))
	}
	c.commit()
	resp.Header = s.header()
	return resp, nil
}

// checkTxn refuses the transactions that the service refuses regardless of its
// contents.
func (s *state) checkTxn(req *etcdv3.TxnRequest) error {
	limit := s.o.MaxTxnOps
	if len(req.Compare) > limit || len(req.Success) > limit || len(req.Failure) > limit {
		return invalid(etcdwire.TextTooManyOps)
	}
	if proto.Size(req) > s.o.MaxRequestBytes {
		return invalid(etcdwire.TextTooLarge)
	}
	for _, cmp := range req.Compare {
		if len(cmp.Key) == 0 {
			return invalid(etcdwire.TextEmptyKey)
		}
	}
	if err := s.checkOps(req.Success); err != nil {
		return err
	}
	return s.checkOps(req.Failure)
}

func (s *state) checkOps(ops []*etcdv3.RequestOp) error {
	for i, op := range ops {
		key, _ := opRange(op)
		if len(key) == 0 {
			return invalid(etcdwire.TextEmptyKey)
		}
		put := op.GetRequestPut()
		if put == nil {
			continue
		}
		if len(put.Value) > s.o.MaxValueBytes {
			return invalid(etcdwire.TextTooLarge)
		}
		if overlaps(ops, i, key) {
			return invalid(etcdwire.TextDuplicateKey)
		}
	}
	return nil
}

// overlaps reports whether a change other than number i affects its key.
func overlaps(ops []*etcdv3.RequestOp, i int, key []byte) bool {
	for j, other := range ops {
		if j == i || other.GetRequestRange() != nil {
			continue
		}
		if otherKey, otherEnd := opRange(other); inRange(key, otherKey, otherEnd) {
			return true
		}
	}
	return false
}

func opRange(op *etcdv3.RequestOp) (key, end []byte) {
	switch r := op.Request.(type) {
	case *etcdv3.RequestOp_RequestRange:
		return r.RequestRange.Key, r.RequestRange.RangeEnd
	case *etcdv3.RequestOp_RequestPut:
		return r.RequestPut.Key, nil
	case *etcdv3.RequestOp_RequestDeleteRange:
		return r.RequestDeleteRange.Key, r.RequestDeleteRange.RangeEnd
	default:
		return nil, nil
	}
}

func (s *state) leasesExist(ops []*etcdv3.RequestOp) bool {
	for _, op := range ops {
		id := op.GetRequestPut().GetLease()
		if id != 0 && s.leases[id] == nil {
			return false
		}
	}
	return true
}

func (c *change) apply(op *etcdv3.RequestOp) *etcdv3.ResponseOp {
	switch r := op.Request.(type) {
	case *etcdv3.RequestOp_RequestPut:
		return c.applyPut(r.RequestPut)
	case *etcdv3.RequestOp_RequestDeleteRange:
		return c.applyDelete(r.RequestDeleteRange)
	default:
		resp := c.s.readRange(op.GetRequestRange())
		return &etcdv3.ResponseOp{Response: &etcdv3.ResponseOp_ResponseRange{ResponseRange: resp}}
	}
}

func (c *change) applyPut(req *etcdv3.PutRequest) *etcdv3.ResponseOp {
	prev := c.put(req)
	resp := &etcdv3.PutResponse{}
	if req.PrevKv {
		resp.PrevKv = prev
	}
	return &etcdv3.ResponseOp{Response: &etcdv3.ResponseOp_ResponsePut{ResponsePut: resp}}
}

func (c *change) applyDelete(req *etcdv3.DeleteRangeRequest) *etcdv3.ResponseOp {
	gone := c.deleteRange(req.Key, req.RangeEnd)
	resp := &etcdv3.DeleteRangeResponse{Deleted: int64(len(gone))}
	if req.PrevKv {
		resp.PrevKvs = gone
	}
	return &etcdv3.ResponseOp{Response: &etcdv3.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: resp}}
}

func (s *state) holds(compares []*etcdv3.Compare) bool {
	for _, cmp := range compares {
		if !s.holdsOne(cmp) {
			return false
		}
	}
	return true
}

func (s *state) holdsOne(cmp *etcdv3.Compare) bool {
	kv := s.lookup(cmp.Key)
	switch cmp.Target {
	case etcdv3.Compare_VALUE:
		return kv != nil && ordered(cmp.Result, bytes.Compare(kv.Value, cmp.GetValue()))
	case etcdv3.Compare_CREATE:
		return orderedInts(cmp.Result, kv.GetCreateRevision(), cmp.GetCreateRevision())
	case etcdv3.Compare_MOD:
		return orderedInts(cmp.Result, kv.GetModRevision(), cmp.GetModRevision())
	case etcdv3.Compare_LEASE:
		return orderedInts(cmp.Result, kv.GetLease(), cmp.GetLease())
	default:
		return orderedInts(cmp.Result, kv.GetVersion(), cmp.GetVersion())
	}
}

func orderedInts(want etcdv3.Compare_CompareResult, have, given int64) bool {
	switch {
	case have < given:
		return ordered(want, -1)
	case have > given:
		return ordered(want, 1)
	default:
		return ordered(want, 0)
	}
}

func ordered(want etcdv3.Compare_CompareResult, cmp int) bool {
	switch want {
	case etcdv3.Compare_GREATER:
		return cmp > 0
	case etcdv3.Compare_LESS:
		return cmp < 0
	case etcdv3.Compare_NOT_EQUAL:
		return cmp != 0
	default:
		return cmp == 0
	}
}
