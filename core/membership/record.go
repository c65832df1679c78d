package membership

import (
	"maps"
	"slices"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// record is the state that a daemon keeps of one member.
type record struct {
	Member

	// listed is whether the platform's last trusted list names the VM; delisted
	// is whether an earlier one did and the last does not.
	listed   bool
	delisted bool
	// inList is whether the list being applied names the VM.
	inList bool
	// met is when this daemon first learned of the member's current boot;
	// synced is whether a larger message has been sent to it since.
	met    time.Time
	synced bool
	// directIncarnation is the incarnation in the last message from the member
	// itself, whether or not it was merged.
	directIncarnation uint64

	// exchangedAt is when the exchange in flight, or else the last one, was
	// started.
	exchangedAt time.Time
	inFlight    bool
	// failures counts failed exchanges since the last response; failedAt is
	// when the last failed one was started.
	failures int
	failedAt time.Time
	// reportedSuspect is whether others reported the member, so that this
	// daemon must contact it itself.
	reportedSuspect bool
	// suspectedAt is when the first uncleared failure or report came;
	// suspectSince is when the member became suspect.
	suspectedAt  time.Time
	suspectSince time.Time
	// reports are the other members that failed to reach the member since its
	// last response, and whether they removed it.
	reports []report
	// learnedDead is whether the member was first learned of as dead. Such
	// records are not relayed; otherwise they would circulate forever between
	// daemons that each forget them later than the others.
	learnedDead bool
	diedAt      time.Time

	// reportedSilence is how long the store had been silent as of the member's
	// last response, and reportedAt is when that exchange was started. okSince
	// is since when the member has reported nothing but a responding store;
	// zero when its last response reported a silent one.
	reportedSilence time.Duration
	reportedAt      time.Time
	okSince         time.Time
}

// report is another member's failure to reach a member.
type report struct {
	by   model.DaemonID
	dead bool
}

// addReport records that another member failed to reach this one or removed it.
func (r *record) addReport(by model.DaemonID, dead bool) {
	for i := range r.reports {
		if r.reports[i].by == by {
			r.reports[i].dead = r.reports[i].dead || dead
			return
		}
	}
	if len(r.reports) < maxReports {
		r.reports = append(r.reports, report{by, dead})
	}
}

// maxReports bounds the reports kept about one member.
const maxReports = 4

func (r *record) deadReports() int {
	n := 0
	for _, rep := range r.reports {
		if rep.dead {
			n++
		}
	}
	return n
}

// clearDoubt clears failures and reports.
func (r *record) clearDoubt() {
	r.failures = 0
	r.reportedSuspect = false
	r.reports = nil
}

// liveState returns the state of a member that is not in doubt.
func (r *record) liveState() State {
	switch {
	case r.Incarnation == 0:
		return Listed
	case r.Draining:
		return Leaving
	}
	return Alive
}

// inDoubt reports whether the member is to be contacted out of rotation.
func (r *record) inDoubt() bool {
	return r.State != Dead && r.State != Listed &&
		(r.State == Suspect || r.failures > 0 || r.reportedSuspect)
}

var toWire = map[State]peerv1.MemberState{
	Alive:   peerv1.MemberState_MEMBER_STATE_ALIVE,
	Leaving: peerv1.MemberState_MEMBER_STATE_LEAVING,
	Suspect: peerv1.MemberState_MEMBER_STATE_SUSPECT,
	Dead:    peerv1.MemberState_MEMBER_STATE_DEAD,
}

var fromWire = map[peerv1.MemberState]State{
	peerv1.MemberState_MEMBER_STATE_ALIVE:   Alive,
	peerv1.MemberState_MEMBER_STATE_LEAVING: Leaving,
	peerv1.MemberState_MEMBER_STATE_SUSPECT: Suspect,
	peerv1.MemberState_MEMBER_STATE_DEAD:    Dead,
}

// relayedRecord returns the record as relayed to others, without the fields
// that only the member's own messages contain.
func (m *Member) relayedRecord(s State) *peerv1.Member {
	return &peerv1.Member{
		Id:                string(m.ID),
		Incarnation:       m.Incarnation,
		State:             toWire[s],
		Address:           m.Address,
		AvailabilityZone:  string(m.Zone),
		StartedUnixMillis: m.Started.UnixMilli(),
	}
}

// ownRecord returns the record as the member itself sends it.
func (m *Member) ownRecord() *peerv1.Member {
	p := m.relayedRecord(m.State)
	p.ConfigRevision = uint64(m.ConfigRevision)
	p.StoreSilentMillis = m.StoreSilent.Milliseconds()
	p.StoreOkMillis = m.StoreOK.Milliseconds()
	for _, service := range slices.Sorted(maps.Keys(m.Demand)) {
		d := m.Demand[service]
		p.Demand = append(p.Demand, &peerv1.ServiceDemand{
			Service: service, InFlight: d.InFlight, Queued: d.Queued,
		})
	}
	for _, s := range m.OwnedShards {
		p.OwnedShards = append(p.OwnedShards, &peerv1.ShardEpoch{
			Shard: uint32(s.Shard), Epoch: int64(s.Epoch),
			FreeMilliCpu: s.Free.MilliCPU, FreeMemoryMb: s.Free.MemoryMB, FreeAccelerators: s.Free.Accelerators,
		})
	}
	return p
}

// setIdentity sets the fields that both own and relayed records contain.
func (m *Member) setIdentity(p *peerv1.Member) {
	m.Incarnation = p.GetIncarnation()
	m.Address = p.GetAddress()
	m.Zone = model.Zone(p.GetAvailabilityZone())
	m.Started = time.UnixMilli(p.GetStartedUnixMillis())
}

// setOwnFields sets the fields that only the member's own messages contain.
func (m *Member) setOwnFields(p *peerv1.Member) {
	m.ConfigRevision = model.Revision(p.GetConfigRevision())
	m.StoreSilent = time.Duration(p.GetStoreSilentMillis()) * time.Millisecond
	m.StoreOK = time.Duration(p.GetStoreOkMillis()) * time.Millisecond
	m.Demand = make(map[string]Demand, len(p.GetDemand()))
	for _, d := range p.GetDemand() {
		m.Demand[d.GetService()] = Demand{InFlight: d.GetInFlight(), Queued: d.GetQueued()}
	}
	m.OwnedShards = make([]ShardEpoch, 0, len(p.GetOwnedShards()))
	for _, s := range p.GetOwnedShards() {
		m.OwnedShards = append(m.OwnedShards, ShardEpoch{
			Shard: model.ShardID(s.GetShard()), Epoch: model.Epoch(s.GetEpoch()),
		})
	}
}
