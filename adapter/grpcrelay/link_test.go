package grpcrelay

import "testing"

// A leader that got no processor for 0.85 s closed its streams to carriers that
// had sent all the time, as by its clock they had been silent for too long. Only
// looks that find nothing new count, several of them in a row.
func TestSilenceCountsChecksWithoutNewBatches(t *testing.T) {
	var s silenceDetector
	batches := uint64(0)
	for range 3 * silenceChecks {
		batches++
		if s.check(batches) {
			t.Fatal("a carrier that sends counts as silent")
		}
	}
	for range silenceChecks - 1 {
		if s.check(batches) {
			t.Fatal("silent too early")
		}
	}
	batches++
	for range silenceChecks {
		if s.check(batches) {
			t.Fatal("looks before the last batch count")
		}
	}
	if !s.check(batches) {
		t.Errorf("not silent after %d looks that found nothing", silenceChecks)
	}
}
