package daemon

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// homes is this entry's record of claimed request ids, and its way to other
// entries' records. It is used by traffic goroutines and, for the view of the
// members, by the control loop.
type homes struct {
	self  model.DaemonID
	peers port.Peers
	clock port.Clock

	mu     sync.Mutex
	record *dedup.ClaimStore

	viewMu    sync.RWMutex
	members   []dedup.Member
	addresses map[model.DaemonID]string
	confirmed bool
}

func newHomes(id Identity, ports Ports, o dedup.Options) *homes {
	return &homes{
		self:      id.ID,
		peers:     ports.Peers,
		clock:     ports.Clock,
		record:    dedup.NewClaimStore(id.Started, o),
		addresses: make(map[model.DaemonID]string),
	}
}

// setView takes a new view of the members. The view counts as confirmed once
// another entry was heard, or the platform's list names no other.
func (h *homes) setView(v *membership.View) {
	members := make([]dedup.Member, 0, len(v.Members))
	addresses := make(map[model.DaemonID]string, len(v.Members))
	heard := len(v.Members) == 1
	for _, m := range v.Members {
		addresses[m.ID] = m.Address
		if m.State == membership.Listed {
			continue
		}
		members = append(members, dedupMember(m))
		if m.ID != h.self && m.State == membership.Alive {
			heard = true
		}
	}
	h.viewMu.Lock()
	defer h.viewMu.Unlock()
	h.members, h.addresses, h.confirmed = members, addresses, heard
}

func dedupMember(m membership.Member) dedup.Member {
	d := dedup.Member{ID: m.ID}
	if m.State == membership.Dead {
		d.LastSeen = m.LastHeard
	}
	return d
}

// view implements traffic.ClaimOptions.Members.
func (h *homes) view() ([]dedup.Member, bool) {
	h.viewMu.RLock()
	defer h.viewMu.RUnlock()
	return h.members, h.confirmed
}

func (h *homes) address(id model.DaemonID) string {
	h.viewMu.RLock()
	defer h.viewMu.RUnlock()
	return h.addresses[id]
}

// Claim implements traffic.HomeCaller.
func (h *homes) Claim(ctx context.Context, home model.DaemonID, r dedup.Request) (dedup.Verdict, error) {
	if home == h.self {
		return h.claimHere(r), nil
	}
	resp, err := h.peers.Claim(ctx, h.address(home), claimMessage(r, false))
	if err != nil {
		return dedup.Unsure, err
	}
	return verdictOf(resp.GetVerdict()), nil
}

// Release implements traffic.HomeCaller.
func (h *homes) Release(ctx context.Context, home model.DaemonID, r dedup.Request) error {
	if home == h.self {
		h.releaseHere(r)
		return nil
	}
	_, err := h.peers.Claim(ctx, h.address(home), claimMessage(r, true))
	return err
}

func (h *homes) claimHere(r dedup.Request) dedup.Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record.Claim(h.clock.Now(), r)
}

func (h *homes) releaseHere(r dedup.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.Release(h.clock.Now(), r)
}

// answer answers another entry's claim or release.
func (h *homes) answer(req *peerv1.ClaimRequest) *peerv1.ClaimResponse {
	r := claimRequest(req)
	if req.GetRelease() {
		h.releaseHere(r)
		return &peerv1.ClaimResponse{Verdict: peerv1.ClaimVerdict_CLAIM_VERDICT_GRANTED}
	}
	return &peerv1.ClaimResponse{Verdict: verdictMessages[h.claimHere(r)]}
}

var verdictMessages = map[dedup.Verdict]peerv1.ClaimVerdict{
	dedup.Unsure:   peerv1.ClaimVerdict_CLAIM_VERDICT_UNSURE,
	dedup.Granted:  peerv1.ClaimVerdict_CLAIM_VERDICT_GRANTED,
	dedup.Held:     peerv1.ClaimVerdict_CLAIM_VERDICT_HELD,
	dedup.Mismatch: peerv1.ClaimVerdict_CLAIM_VERDICT_MISMATCH,
	dedup.Full:     peerv1.ClaimVerdict_CLAIM_VERDICT_FULL,
}

// verdictOf reads a verdict; one that this version does not know is unsure.
func verdictOf(m peerv1.ClaimVerdict) dedup.Verdict {
	for verdict, message := range verdictMessages {
		if message == m {
			return verdict
		}
	}
	return dedup.Unsure
}

func claimMessage(r dedup.Request, release bool) *peerv1.ClaimRequest {
	req := &peerv1.ClaimRequest{
		Service:             r.Service,
		RequestId:           r.ID,
		Claimant:            r.Claimant,
		ClaimantIncarnation: r.Incarnation,
		PayloadHash:         r.Payload,
		Release:             release,
	}
	if !r.Issued.IsZero() {
		req.IssuedUnixMillis = r.Issued.UnixMilli()
	}
	return req
}

func claimRequest(req *peerv1.ClaimRequest) dedup.Request {
	r := dedup.Request{
		Service:     req.GetService(),
		ID:          req.GetRequestId(),
		Claimant:    req.GetClaimant(),
		Incarnation: req.GetClaimantIncarnation(),
		Payload:     req.GetPayloadHash(),
	}
	if req.GetIssuedUnixMillis() != 0 {
		r.Issued = time.UnixMilli(req.GetIssuedUnixMillis())
	}
	return r
}
