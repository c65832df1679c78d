package jobservice

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/core/jobsched"
)

// newRoomShareGauge returns the metric that setRoomShares updates.
func newRoomShareGauge() *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "room_share",
		Help: "Room of a queue's long-running or short tasks at the leader, as a fraction of what is divided: used, wanted, the share, and the reserve for short tasks.",
	}, []string{"queue", "work", "kind"})
}

// setRoomShares updates the shares of room from those that the leader tells; nil at a
// daemon that does not lead.
func (m *Metrics) setRoomShares(shares []jobsched.RoomShare) {
	if shares == nil {
		m.roomShare.Reset()
	}
	for _, s := range shares {
		set := func(kind string, value float64) { m.roomShare.WithLabelValues(s.Queue, s.Work(), kind).Set(value) }
		set("used", s.Used)
		set("wanted", s.Wanted)
		set("share", s.Share)
		if !s.LongRunning {
			set("reserve", s.Reserve)
		}
	}
}
