package etcdwire

import (
	"testing"
	"time"

	"google.golang.org/grpc/codes"

	"github.com/guavarill/guavarill/port"
)

func TestStatusesThatProveNothingWasDone(t *testing.T) {
	cases := []struct {
		code    codes.Code
		text    string
		kind    port.StoreErrorKind
		notDone bool
	}{
		{codes.InvalidArgument, TextDuplicateKey, KindRefused, true},
		{codes.InvalidArgument, TextTooLarge, port.StoreTooLarge, true},
		{codes.InvalidArgument, TextTooManyOps, port.StoreTooLarge, true},
		{codes.NotFound, TextLeaseNotFound, port.StoreLeaseNotFound, true},
		{codes.ResourceExhausted, TextTooManyRequests, KindOverloaded, true},
		{codes.ResourceExhausted, TextNoSpace, KindOverloaded, false},
		{codes.Unavailable, "etcdserver: request timed out", port.StoreUnavailable, false},
		{codes.DeadlineExceeded, "", port.StoreTimeout, false},
		{codes.Internal, "", port.StoreUnavailable, false},
		{codes.Unknown, "", port.StoreUnavailable, false},
	}
	for _, c := range cases {
		kind, notDone := (&Refusal{Code: c.code, Text: c.text}).Classify()
		if kind != c.kind || notDone != c.notDone {
			t.Errorf("%s %q: %q, not done %v", c.code, c.text, kind, notDone)
		}
	}
}

func TestPrefixRange(t *testing.T) {
	cases := []struct{ prefix, key, end string }{
		{"a/", "a/", "a0"},
		{"a\xff", "a\xff", "b"},
		{"\xff\xff", "\xff\xff", "\x00"},
		{"", "\x00", "\x00"},
	}
	for _, c := range cases {
		key, end := PrefixRange(c.prefix)
		if string(key) != c.key || string(end) != c.end {
			t.Errorf("%q: [%q, %q)", c.prefix, key, end)
		}
	}
}

func TestTTLIsNeverShortened(t *testing.T) {
	for ttl, want := range map[time.Duration]int64{
		0: 1, time.Millisecond: 1, time.Second: 1, time.Second + 1: 2, 15 * time.Second: 15,
	} {
		if got := TTLSeconds(ttl); got != want {
			t.Errorf("%v: %d s, want %d", ttl, got, want)
		}
	}
}
