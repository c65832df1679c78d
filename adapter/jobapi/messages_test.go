package jobapi

import (
	"net/http"
	"testing"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/jobservice"
)

// TestUnreadableRecordIsNotTheCallersFault guards against callers who are told that their
// request is invalid because the stored record of their job cannot be read.
func TestUnreadableRecordIsNotTheCallersFault(t *testing.T) {
	_, cause := job.DecodeAccepted([]byte(`{"queue":{"name":"q"},"spec":{"steps":[{"count":0}]}}`))
	if cause == nil {
		t.Fatal("the record can be read")
	}
	status, problem := ProblemOf(&jobservice.UncertainError{Cause: cause})
	if status != http.StatusGatewayTimeout || problem != ProblemUncertain {
		t.Errorf("%d %s, want 504 and %s", status, problem, ProblemUncertain)
	}
}

// TestDeclarationBeyondTheLimitsIsNotAccepted guards against an answer that does not tell
// callers that their job never runs.
func TestDeclarationBeyondTheLimitsIsNotAccepted(t *testing.T) {
	refusal := (&job.Spec{Steps: []job.Step{{Count: job.MaxTasks + 1}}}).CheckLimits()
	status, problem := ProblemOf(refusal)
	if status != http.StatusServiceUnavailable || problem != ProblemUnservable {
		t.Errorf("%d %s, want 503 and %s", status, problem, ProblemUnservable)
	}
	if after := RetryAfterSeconds(refusal); after != infeasibleRetryAfter {
		t.Errorf("Retry-After %s, want %s", after, infeasibleRetryAfter)
	}
}
