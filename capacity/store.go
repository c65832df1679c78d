package capacity

// Calls is the store's calls of one kind, a second, of all daemons together.
type Calls struct {
	What, How  string
	Idle, Peak float64
	Carrier    string
}

// Writes returns the store's writes a second.
func Writes(s Size) []Calls {
	commits := s.Shards() * s.Commits()
	return []Calls{
		{
			What: "group commits", How: "shards × (1 − e^(−3 × starts of a shard × flush)) / flush; flush = max(100 ms, shards / half of --store-writes)",
			Peak: commits, Carrier: "`core/ledger`, `daemon/shard.go`",
		},
		{
			What: "daemons' leases", How: "owners × `ownership.lease-calls`",
			Idle: s.Owners() * slope(LeaseCalls), Peak: s.Owners() * slope(LeaseCalls),
			Carrier: "`core/ownership`",
		},
		{
			What: "accepted configurations", How: "changes a day, all in a working day of 8 hours",
			Peak: s.ChangesPerDay / daySeconds * 3, Carrier: "`core/config`",
		},
	}
}

// Reads returns the store's reads a second; a waiting watch counts as one.
func Reads(s Size) []Calls {
	steady := func(what, how string, rate float64, carrier string) Calls {
		return Calls{What: what, How: how, Idle: rate, Peak: rate, Carrier: carrier}
	}
	return []Calls{
		steady("topology", "daemons / 15 s", float64(s.Entries)/topologyEvery, "`daemon/platform.go`"),
		steady("configuration, polled", "daemons / 30 s", float64(s.Entries)/configPollEvery, "`daemon/configuration.go`"),
		steady("inboxes", "shards / 30 s", s.Shards()/inboxEvery, "`core/ledger`"),
		steady("waiting watches", "2 of all daemons", configWatchers, "`daemon/configuration.go`"),
	}
}

// Sum adds up one column of calls.
func Sum(calls []Calls, column func(Calls) float64) float64 {
	sum := 0.0
	for _, c := range calls {
		sum += column(c)
	}
	return sum
}
