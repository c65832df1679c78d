package grpcrelay

import "testing"

// A leader that got no processor for 0.85 s closed its streams to carriers that
// had sent all the time, as by its clock they had been silent for too long. Only
// looks that find nothing new count, several of them in a row.
func TestSilenceCountsLooksThatFindNothing(t *testing.T) {
	var s silence
	batches := uint64(0)
	for range 3 * silenceLooks {
		batches++
		if s.look(batches) {
			t.Fatal("a carrier that sends counts as silent")
		}
	}
	for range silenceLooks - 1 {
		if s.look(batches) {
			t.Fatal("silent too early")
		}
	}
	batches++
	for range silenceLooks {
		if s.look(batches) {
			t.Fatal("looks before the last batch count")
		}
	}
	if !s.look(batches) {
		t.Errorf("not silent after %d looks that found nothing", silenceLooks)
	}
}
