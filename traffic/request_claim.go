package traffic

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/fate"
)

func (j *requestRun) makeClaim(ctx context.Context) *fate.Error {
	issued, _ := dedup.IssuedAt(j.req.ID)
	j.claimedAt = j.s.e.o.Clock.Now()
	claim, outcome := j.s.e.o.Claims.Claim(ctx, dedup.Request{
		Service: j.req.Service,
		ID:      j.req.ID,
		Issued:  issued,
		Payload: payloadHash(j.req),
	})
	j.s.metrics.countClaim(outcome)
	if outcome == dedup.Proceed {
		j.claim = claim
		j.claimed = true
		return nil
	}
	err := j.claimRefused(outcome)
	if outcome == dedup.RefusedUnsure && ctx.Err() != nil {
		err.Reason = reasonOf(ctx)
	}
	return err
}

var claimReasons = map[dedup.Outcome]fate.Reason{
	dedup.RefusedFull:     fate.ReasonClaimFull,
	dedup.RefusedHeld:     fate.ReasonClaimHeld,
	dedup.RefusedMismatch: fate.ReasonClaimMismatch,
	dedup.RefusedUnsure:   fate.ReasonClaimUnsure,
}

// claimRefused returns the error for a refused claim. This entry sent nothing,
// but an earlier request under the same id may have been sent through any
// entry. The fate is therefore NotRun only if the id was certainly never used,
// and Unknown otherwise.
func (j *requestRun) claimRefused(o dedup.Outcome) *fate.Error {
	f := fate.Unknown
	if o == dedup.RefusedFull || (o == dedup.RefusedUnsure && j.generated) {
		f = fate.NotRun
	}
	err := &fate.Error{Fate: f, Reason: claimReasons[o]}
	if f == fate.NotRun {
		err.RetryAfter = j.s.retryAfter(j.ticket())
	}
	return err
}

// payloadHash returns a hash by which different requests under one id are
// told apart. It covers the method, path, query, Content-Type and body.
func payloadHash(req *Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range []string{req.Method, req.Path, req.Query, req.Header.Get("Content-Type")} {
		d.WriteString(field) //nolint:errcheck // never fails
		d.Write([]byte{0})   //nolint:errcheck // never fails
	}
	d.Write(req.Body) //nolint:errcheck // never fails
	return d.Sum64()
}
