package adminapi

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/port"
)

// TestCordonOutcomes checks that the outcome of a change of a cordon says whether it
// was made.
func TestCordonOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		status  int
		outcome Outcome
	}{
		"made":     {nil, http.StatusOK, Accepted},
		"not made": {&port.StoreError{Call: "txn", Kind: port.StoreUnavailable, Outcome: port.OutcomeNotDone}, http.StatusServiceUnavailable, NotMade},
		"lost":     {&port.StoreError{Call: "txn", Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown}, http.StatusBadGateway, Unknown},
		"stopped":  {&daemon.StoppedError{Reason: daemon.StopEnded}, http.StatusBadGateway, Unknown},
	} {
		f := newFixture(t)
		f.daemon.err = c.err
		for _, change := range []func(context.Context, model.Zone) (ChangeResult, error){f.client.Cordon, f.client.LiftCordon} {
			result, err := change(t.Context(), "zone-a")
			if err != nil || result.Outcome != c.outcome {
				t.Errorf("%s: %v, %v; want %v", name, result.Outcome, err, c.outcome)
			}
		}
		if want := []string{"zone-a", "-zone-a"}; !slices.Equal(f.daemon.cordons, want) {
			t.Errorf("%s: changes %v, want %v", name, f.daemon.cordons, want)
		}
		if status, _ := f.send(t, http.MethodPut, "/v1/cordons/zone-a", ""); status != c.status {
			t.Errorf("%s: status %d, want %d", name, status, c.status)
		}
	}
}

// TestInvalidZoneIsRefused checks that a name that no zone can have changes nothing.
func TestInvalidZoneIsRefused(t *testing.T) {
	f := newFixture(t)
	_, err := f.client.Cordon(t.Context(), "no zone")
	var failed *CallError
	if !errors.As(err, &failed) || failed.Outcome != port.OutcomeNotDone || len(f.daemon.cordons) > 0 {
		t.Errorf("%v after changes %v", err, f.daemon.cordons)
	}
}
