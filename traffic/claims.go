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
	// Claim returns Proceed when the id is recorded for r.Claimant, else why
	// the request must not be sent. Service, ID, Issued and Payload of r are
	// set; the claimant is set by Claim in the request it returns, which is
	// what Release takes.
	Claim(ctx context.Context, r dedup.Request) (dedup.Request, dedup.Outcome)
	// Release takes a claim back whose request was certainly not run. It does
	// not wait; a release that is lost costs the caller a repeat, not more.
	Release(r dedup.Request)
}

// HomeCaller asks one entry, this one included, to record or release an id.
type HomeCaller interface {
	// Claim returns the home's verdict; on an error the verdict counts as
	// Unsure.
	Claim(ctx context.Context, home model.DaemonID, r dedup.Request) (dedup.Verdict, error)
	Release(ctx context.Context, home model.DaemonID, r dedup.Request) error
}

// DefaultClaimTimeout bounds one round of claims: several round trips between
// the zones furthest apart.
const DefaultClaimTimeout = 100 * time.Millisecond

// ClaimOptions configures QuorumClaims.
type ClaimOptions struct {
	Self        model.DaemonID
	Incarnation uint64
	// Booted is when this entry started.
	Booted time.Time
	// Members returns the entries as this one knows them, itself included, and
	// whether another entry, or the platform's list, has confirmed the view
	// since the boot. It is called from traffic goroutines.
	Members func() (members []dedup.Member, confirmed bool)
	Homes   HomeCaller
	Dedup   dedup.Options
	// Timeout bounds a round of claims; 0 takes DefaultClaimTimeout.
	Timeout time.Duration
	Clock   port.Clock
}

// QuorumClaims is Claims over the homes of each id.
type QuorumClaims struct {
	o        ClaimOptions
	sequence atomic.Uint64
}

// NewQuorumClaims returns the claims of one entry.
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
	// An entry whose view is not yet that of the others would take other
	// homes than they did, and find an id unused that another entry has
	// sent. One would notice it only by the second run.
	if !confirmed || now.Sub(q.o.Booted) < q.o.Dedup.MembershipDelay {
		return r, dedup.RefusedUnsure
	}
	homes := dedup.HomesFor(r.Service, r.ID, dedup.Eligible(now, r.Issued, members, q.o.Dedup))
	return r, q.claimAt(ctx, r, homes)
}

// round is one claim at its homes. After it was abandoned, a home that grants
// late is told to release at once.
type round struct {
	mu        sync.Mutex
	claim     *dedup.Claim
	abandoned bool
	decided   chan struct{}
}

// add records a verdict and reports whether the home's grant is to be
// released.
func (rd *round) add(home model.DaemonID, v dedup.Verdict) bool {
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

// end returns the outcome, and the homes to be told when it is a refusal.
func (rd *round) end() (dedup.Outcome, []model.DaemonID) {
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
	rd := &round{claim: dedup.NewClaim(homes), decided: make(chan struct{})}
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

// claimAtHome goes on after the round was decided, so that the third home
// records the id as well.
func (q *QuorumClaims) claimAtHome(rd *round, home model.DaemonID, r dedup.Request) {
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

// Release implements Claims. All homes are told: one that had not answered
// the claim in time may have recorded it.
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
			// A lost release leaves the id recorded: a repeat is told unknown.
			_ = q.o.Homes.Release(ctx, home, r)
		}()
	}
}
