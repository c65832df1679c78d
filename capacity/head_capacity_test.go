package capacity_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/daemon"
)

// BenchmarkCapacityHead is the bytes of one poll of the configuration's head,
// request and answer, beside framing.
func BenchmarkCapacityHead(b *testing.B) {
	key := []byte(daemon.KeyPrefix("agency") + "manifest-head")
	size := 0
	for b.Loop() {
		value, err := config.MarshalHead(1 << 30)
		if err != nil {
			b.Fatal(err)
		}
		answer := &etcdv3.RangeResponse{
			Header: &etcdv3.ResponseHeader{Revision: 1 << 40},
			Kvs:    []*etcdv3.KeyValue{{Key: key, Value: value, CreateRevision: 1 << 20, ModRevision: 1 << 39}},
		}
		size = proto.Size(&etcdv3.RangeRequest{Key: key}) + proto.Size(answer)
	}
	b.ReportMetric(float64(size), "B/poll")
}
