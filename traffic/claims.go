package traffic

import (
	"cmp"
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Claims records the ids of non-idempotent requests.
type Claims interface {
	// Claim returns Proceed if the id is recorded for this claimant, and
	// otherwise why the request must not be sent. The caller sets Service, ID,
	// Issued and Payload of r. Claim sets the claimant in the request that it
	// returns, and that request must be passed to Release.
	Claim(ctx context.Context, r dedup.Request) (dedup.Request, dedup.Outcome)
	// Release releases the claim of a request that was certainly not run. It
	// does not block. If a release is lost, the id stays recorded and a repeat
	// under it is refused; nothing worse follows.
	Release(r dedup.Request)
}

// HomeCaller sends claims and releases to the homes of an id, which are the
// entries that record it. A home may be this entry itself.
type HomeCaller interface {
	// Claim returns the home's verdict. An error counts as the verdict Unsure.
	Claim(ctx context.Context, home model.DaemonID, r dedup.Request) (dedup.Verdict, error)
	Release(ctx context.Context, home model.DaemonID, r dedup.Request) error
}

// DefaultClaimTimeout limits one round of claims. It allows for several round
// trips between the zones that are furthest apart.
const DefaultClaimTimeout = 100 * time.Millisecond

// ClaimOptions configures QuorumClaims.
type ClaimOptions struct {
	Self        model.DaemonID
	Incarnation uint64
	// Booted is when this entry started.
	Booted time.Time
	// Members returns the entries known to this one, including itself, and
	// whether another entry or the platform's list has confirmed that view
	// since this entry started. It is called from traffic goroutines.
	Members func() (members []dedup.Member, confirmed bool)
	Homes   HomeCaller
	Dedup   dedup.Options
	// Timeout limits a round of claims; 0 means DefaultClaimTimeout.
	Timeout time.Duration
	Clock   port.Clock
}

// QuorumClaims implements Claims by a quorum of the homes of each id.
type QuorumClaims struct {
	o        ClaimOptions
	sequence atomic.Uint64
}

// NewQuorumClaims returns the QuorumClaims of one entry.
func NewQuorumClaims(o ClaimOptions) *QuorumClaims {
	o.Timeout = cmp.Or(o.Timeout, DefaultClaimTimeout)
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	o.Dedup = o.Dedup.WithDefaults()
	return &QuorumClaims{o: o}
}

// Claim implements Claims.
func (q *QuorumClaims) Claim(ctx context.Context, r dedup.Request) (dedup.Request, dedup.Outcome) {
	r.Claimant = string(q.o.Self) + "/" + strconv.FormatUint(q.sequence.Add(1), 10)
	r.Incarnation = q.o.Incarnation
	now := q.o.Clock.Now()
	members, confirmed := q.o.Members()
	// An entry whose view of the members differs from the others' would ask
	// other homes than they did, and get a claim for an id that another entry
	// has already sent. The request would run twice, and nothing else would
	// detect that.
	if !confirmed || now.Sub(q.o.Booted) < q.o.Dedup.MembershipDelay {
		return r, dedup.RefusedUnsure
	}
	homes := dedup.HomesFor(r.Service, r.ID, dedup.Eligible(now, r.Issued, members, q.o.Dedup))
	return r, q.claimAt(ctx, r, homes)
}

// claimRound is one claim at all homes of an id. Once it is abandoned, a late
// grant is released at once.
type claimRound struct {
	mu        sync.Mutex
	claim     *dedup.Claim
	abandoned bool
	decided   chan struct{}
}

// add records a verdict. It reports whether the verdict is a grant that came
// after the round was abandoned and must be released.
func (rd *claimRound) add(home model.DaemonID, v dedup.Verdict) bool {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.abandoned {
		return v == dedup.Granted
	}
	before := rd.claim.Outcome()
	rd.claim.Add(home, v)
	if before == dedup.Undecided && rd.claim.Outcome() != dedup.Undecided {
		close(rd.decided)
	}
	return false
}

// end ends the round and returns its outcome. Unless that is Proceed, it also
// returns the homes whose grants must be released.
func (rd *claimRound) end() (dedup.Outcome, []model.DaemonID) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	outcome := rd.claim.Outcome()
	if outcome == dedup.Proceed {
		return outcome, nil
	}
	rd.abandoned = true
	if outcome == dedup.Undecided {
		outcome = dedup.RefusedUnsure
	}
	return outcome, rd.claim.Granted()
}

func (q *QuorumClaims) claimAt(ctx context.Context, r dedup.Request, homes []model.DaemonID) dedup.Outcome {
	if len(homes) == 0 {
		return dedup.RefusedUnsure
	}
	rd := &claimRound{claim: dedup.NewClaim(homes), decided: make(chan struct{})}
	for _, home := range homes {
		go q.claimAtHome(rd, home, r)
	}
	timeout := time.NewTimer(q.o.Timeout)
	defer timeout.Stop()
	select {
	case <-rd.decided:
	case <-timeout.C:
	case <-ctx.Done():
	}
	outcome, granted := rd.end()
	q.releaseAt(r, granted)
	return outcome
}

// claimAtHome sends the claim to one home. It continues after the round is
// decided, so that the third home records the id as well.
func (q *QuorumClaims) claimAtHome(rd *claimRound, home model.DaemonID, r dedup.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), q.o.Timeout)
	defer cancel()
	v, err := q.o.Homes.Claim(ctx, home, r)
	if err != nil {
		v = dedup.Unsure
	}
	if rd.add(home, v) {
		q.releaseAt(r, []model.DaemonID{home})
	}
}

// Release implements Claims. It sends the release to all homes, because a home
// that did not respond to the claim in time may still have recorded it.
func (q *QuorumClaims) Release(r dedup.Request) {
	members, _ := q.o.Members()
	now := q.o.Clock.Now()
	q.releaseAt(r, dedup.HomesFor(r.Service, r.ID, dedup.Eligible(now, r.Issued, members, q.o.Dedup)))
}

func (q *QuorumClaims) releaseAt(r dedup.Request, homes []model.DaemonID) {
	for _, home := range homes {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), q.o.Timeout)
			defer cancel()
			// If the release is lost, the id stays recorded and a repeat gets
			// the fate Unknown.
			_ = q.o.Homes.Release(ctx, home, r)
		}()
	}
}
