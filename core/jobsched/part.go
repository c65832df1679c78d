package jobsched

// Part is a part of the machine's work. The daemon measures what its time goes to by
// Options.OnPart.
type Part int

// The parts. What has no part of its own is PartOther.
const (
	PartOther Part = iota
	// PartReports: the ends and the attempts in workers' reports.
	PartReports
	// PartSpeeds: what reports show of the speeds of workers.
	PartSpeeds
	// PartLearning: what is learned from the readings in reports.
	PartLearning
	// PartShares: the shares of best-effort work.
	PartShares
	// PartSweep: the checks of all attempts and of the speeds of workers.
	PartSweep
	// PartPlacement: the search for workers, and starts.
	PartPlacement
	// PartRenewals: which workers are asked for a report.
	PartRenewals
	// PartForecast: the forecast by which jobs are rejected.
	PartForecast
	// PartCommit: what is stored.
	PartCommit
	// NumParts is the number of parts.
	NumParts
)

var partNames = [NumParts]string{"other", "reports", "speeds", "learning", "shares", "sweep", "placement", "renewals", "forecast", "commit"}

// String returns the part's name.
func (p Part) String() string {
	if p < 0 || p >= NumParts {
		return "invalid part"
	}
	return partNames[p]
}

// begin tells the daemon that a part of the work begins.
func (m *Machine) begin(p Part) {
	if m.options.OnPart != nil {
		m.options.OnPart(p)
	}
}
