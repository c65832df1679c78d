package worker

import workerv1 "github.com/guavarill/guavarill/api/worker/v1"

// renew extends the leases of the attempts that the request lists or, without a
// list, of the set that its hash identifies. If the hash does not match, nothing is
// renewed: it does not show which attempts the owner meant, and an attempt that the
// owner no longer renews would run beyond the bound that the owner computed.
func (a *Agent) renew(req *workerv1.ApplyRequest, resp *workerv1.ApplyResponse) {
	a.renewListed(req, req.GetRenew())
	if req.GetRenewHash() == 0 || a.opt.Flaws.NoRenewHash {
		return
	}
	set, known := a.renewSet(req.GetGrant())
	if !known || workerv1.RenewHash(set) != req.GetRenewHash() {
		resp.RenewMismatch = true
		a.stats.Mismatches++
		if a.opt.Flaws.RenewOnMismatch {
			a.renewListed(req, set)
		}
		return
	}
	resp.RenewMatched = true
	if len(req.GetRenew()) == 0 {
		a.renewListed(req, set)
		a.stats.RenewedByHash++
	}
	if req.GetWantUsage() {
		resp.Usages = a.usagesOf(set, req.GetUsageAfterUnixMillis())
	}
}

func (a *Agent) renewListed(req *workerv1.ApplyRequest, list []*workerv1.TaskAttempt) {
	for _, t := range list {
		r := a.records[t.GetTask()]
		if r != nil && r.attempt == t.GetAttempt() && r.running() {
			a.extend(req, r)
		}
	}
}

// renewSet returns the attempts that an owner expects on this worker if the response
// with grant is the latest that it has received. It returns false if the grant is
// from another boot.
func (a *Agent) renewSet(grant *workerv1.Grant) ([]*workerv1.TaskAttempt, bool) {
	if grant.GetBootId() != a.bootID() {
		return nil, false
	}
	var set []*workerv1.TaskAttempt
	for _, r := range a.sorted() {
		if r.heldSince(grant.GetIssuedMillis()) {
			set = append(set, &workerv1.TaskAttempt{Task: r.task, Attempt: r.attempt})
		}
	}
	return set, true
}

// heldSince reports whether r is running, or ended without a stop request after the
// grant that was issued at the given time.
func (r *record) heldSince(issuedMillis int64) bool {
	if r.stopRequested {
		return false
	}
	return r.running() || r.endedMillis > issuedMillis
}

// usagesOf returns the measurements of set taken after the given time.
func (a *Agent) usagesOf(set []*workerv1.TaskAttempt, after int64) []*workerv1.MemberUsage {
	var list []*workerv1.MemberUsage
	for i, t := range set {
		r := a.records[t.GetTask()]
		if !r.running() {
			continue
		}
		u := a.usageOf(r)
		if u != nil && u.GetMeasuredUnixMillis() > after {
			list = append(list, &workerv1.MemberUsage{Position: uint32(i), Usage: u})
		}
	}
	return list
}
