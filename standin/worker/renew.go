package worker

import workerv1 "github.com/guavarill/guavarill/api/worker/v1"

// renew prolongs the leases that the request lists, or, with no list, those of
// the set that its hash stands for. A set that differs by one attempt is not
// renewed at all: which of the attempts its owner meant cannot be known, and
// one that it gave up would run past the bound that it reckons with.
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

// renewSet returns the attempts that an owner that knows no later answer than
// the one with grant takes to be held here. False is a grant of another boot.
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

// heldSince reports whether r runs, or ended without an order after the grant
// that was issued at the given time.
func (r *record) heldSince(issuedMillis int64) bool {
	if r.toldStop {
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
