package jobservice

import (
	"context"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// pagedStore lists keys in pages that each take some time. It does not wait, and
// compares that time with the deadline of the context.
type pagedStore struct {
	port.Store
	pages    int
	pageTime time.Duration
}

func (s *pagedStore) List(ctx context.Context, _ string) ([]port.KeyValue, int64, error) {
	end, bounded := ctx.Deadline()
	if need := time.Duration(s.pages) * s.pageTime; bounded && time.Until(end) < need {
		return nil, 0, &port.StoreError{Call: "List", Kind: port.StoreTimeout, Cause: context.DeadlineExceeded}
	}
	return nil, 1, nil
}

// Guards against a takeover that never completes because the time for reading all
// records is bounded. States of jobs are kept for two minutes after their end, which
// at a hundred jobs a second is some 12,000 records in 24 pages. A store that takes
// 100 ms a page needs 2.4 s, and a takeover had 2 s for all of them: it was restarted
// at this daemon and at every other, and no daemon led.
func TestTakeOverReadsManyPagesFromASlowStore(t *testing.T) {
	store := &pagedStore{pages: 24, pageTime: 100 * time.Millisecond}
	if _, _, err := readRecords(t.Context(), store, progressPrefix, job.DecodeProgress); err != nil {
		t.Errorf("the records were not read: %v", err)
	}
}
