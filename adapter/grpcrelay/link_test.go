package grpcrelay

import "testing"

// Guards against a leader that closes its streams to healthy relays after a pause: a
// leader that got no processor time for 0.85 s closed its streams to relays that had
// sent all the time, because by its clock they had been silent for too long. Only
// several consecutive checks without a new batch count as silence.
func TestSilenceCountsChecksWithoutNewBatches(t *testing.T) {
	var s silenceDetector
	batches := uint64(0)
	for range 3 * silenceChecks {
		batches++
		if s.check(batches) {
			t.Fatal("a relay that sends batches counts as silent")
		}
	}
	for range silenceChecks - 1 {
		if s.check(batches) {
			t.Fatal("silent after too few checks without a new batch")
		}
	}
	batches++
	for range silenceChecks {
		if s.check(batches) {
			t.Fatal("checks before the last batch count")
		}
	}
	if !s.check(batches) {
		t.Errorf("not silent after %d checks without a new batch", silenceChecks)
	}
}
