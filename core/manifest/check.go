package manifest

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/guavarill/guavarill/core/model"
)

// Check applies the checks of Parse to a manifest that was built in code. The
// error is an *InvalidError.
func (m *Manifest) Check() error {
	found := &problems{}
	m.check(found)
	if err := found.err(); err != nil {
		return err
	}
	return m.Normalised().checkDocument()
}

func (m *Manifest) check(p *problems) {
	checkName(p, "cluster", m.Cluster)
	teams := m.checkTeams(p)
	names := make(map[string]bool, len(m.Workloads))
	for i := range m.Workloads {
		w := &m.Workloads[i]
		c := workloadCheck{problems: p, path: elementPath("workloads", i), w: w}
		c.run(teams)
		if names[w.Name] {
			p.add(c.at("name"), ReasonDuplicate, w.Name)
		}
		names[w.Name] = true
	}
}

func (m *Manifest) checkTeams(p *problems) map[string]*Team {
	teams := make(map[string]*Team, len(m.Teams))
	for i := range m.Teams {
		t := &m.Teams[i]
		path := elementPath("teams", i)
		checkName(p, path+".name", t.Name)
		if teams[t.Name] != nil {
			p.add(path+".name", ReasonDuplicate, t.Name)
		} else {
			teams[t.Name] = t
		}
		if t.Quota != nil {
			checkResources(p, path+".quota", *t.Quota, model.Resources{}, maxQuota)
		}
	}
	return teams
}

// checkDocument rejects a normalised manifest that is too large to be stored, or
// to be sent between daemons.
func (m *Manifest) checkDocument() error {
	document := m.Canonical()
	records := 0
	for i := range m.Workloads {
		records += len(m.Workloads[i].Name) + MaxRecordBytes
	}
	if size := len(document) + records; size > MaxDocumentBytes {
		return tooLarge(fmt.Sprintf("%d bytes when encoded; at most %d", size, MaxDocumentBytes))
	}
	if len(document)+records <= MaxStoredBytes {
		return nil // ReservedBytes covers what compression can add
	}
	if size := len(Compress(document)) + records; size > MaxStoredBytes {
		return tooLarge(fmt.Sprintf("%d bytes in the store; at most %d", size, MaxStoredBytes))
	}
	return nil
}

func tooLarge(detail string) error {
	return &InvalidError{Problems: []Problem{{Reason: ReasonTooLarge, Detail: detail}}}
}

// workloadCheck checks one workload and records its problems.
type workloadCheck struct {
	problems *problems
	path     string
	w        *Workload
}

func (c *workloadCheck) at(field string) string { return c.path + "." + field }

func (c *workloadCheck) run(teams map[string]*Team) {
	c.checkNames()
	c.checkTeam(teams)
	c.checkSize()
	c.checkCounts()
	c.checkArgs()
	switch c.w.Kind {
	case model.KindService:
		c.checkService()
	case model.KindBatch:
		c.checkBatch()
	default:
		c.problems.add(c.at("kind"), ReasonUnknownValue, fmt.Sprintf("%q; %s or %s", c.w.Kind, model.KindService, model.KindBatch))
	}
}

func (c *workloadCheck) checkNames() {
	checkName(c.problems, c.at("name"), c.w.Name)
	if c.w.Class != "" {
		checkName(c.problems, c.at("class"), c.w.Class)
	}
	if _, ok := model.ParsePriority(c.w.Priority); !ok && c.w.Priority != "" {
		c.problems.add(c.at("priority"), ReasonUnknownValue, fmt.Sprintf("%q; low, normal, high or urgent", c.w.Priority))
	}
	switch c.w.Spread {
	case "", SpreadZone, SpreadRack:
	default:
		c.problems.add(c.at("spread"), ReasonUnknownValue, fmt.Sprintf("%q; %s or %s", c.w.Spread, SpreadZone, SpreadRack))
	}
}

func (c *workloadCheck) checkTeam(teams map[string]*Team) {
	team := teams[c.w.Team]
	if team == nil {
		c.problems.add(c.at("team"), ReasonUnknownTeam, c.w.Team)
		return
	}
	if team.Quota == nil {
		return
	}
	if dimension, over := c.w.Size.Exceeds(*team.Quota); over {
		detail := fmt.Sprintf("%s: task %s, quota %s", dimension, c.w.Size, team.Quota)
		c.problems.add(c.at("size"), ReasonOverQuota, detail)
	}
}

func (c *workloadCheck) checkSize() {
	least := model.Resources{MilliCPU: 1, MemoryMB: 1}
	checkResources(c.problems, c.at("size"), c.w.Size, least, maxTaskSize)
}

func (c *workloadCheck) checkCounts() {
	checkRange(c.problems, c.at("tasks"), int64(c.w.Tasks), 1, maxTasks)
	checkRange(c.problems, c.at("maxAttempts"), int64(c.w.MaxAttempts), 0, maxAttempts)
}

func (c *workloadCheck) checkArgs() {
	if len(c.w.Args) > maxArgs {
		c.problems.add(c.at("args"), ReasonTooLarge, fmt.Sprintf("%d entries; at most %d", len(c.w.Args), maxArgs))
		return
	}
	total := 0
	for i, arg := range c.w.Args {
		total += len(arg)
		if !utf8.ValidString(arg) || strings.ContainsFunc(arg, unicode.IsControl) {
			c.problems.add(elementPath(c.at("args"), i), ReasonBadText, "")
		}
	}
	if total > maxArgsBytes {
		c.problems.add(c.at("args"), ReasonTooLarge, fmt.Sprintf("%d bytes; at most %d", total, maxArgsBytes))
	}
}

func (c *workloadCheck) checkService() {
	checkRange(c.problems, c.at("slots"), int64(c.w.Slots), 1, maxSlots)
	// Each request uses a connection of its own, so slots in excess of the
	// connections could never be used.
	checkRange(c.problems, c.at("connections"), int64(c.w.Connections), int64(max(c.w.Slots, 1)), maxConnections)
	checkRange(c.problems, c.at("maxQueue"), int64(c.w.MaxQueue), 0, maxQueue)
	checkDuration(c.problems, c.at("timeout"), c.w.Timeout, maxTimeout)
	c.rejectInapplicable("runTime", c.w.RunTime != 0)
	c.rejectInapplicable("longRunning", c.w.LongRunning)
}

func (c *workloadCheck) checkBatch() {
	checkDuration(c.problems, c.at("runTime"), c.w.RunTime, maxRunTime)
	c.rejectInapplicable("slots", c.w.Slots != 0)
	c.rejectInapplicable("connections", c.w.Connections != 0)
	c.rejectInapplicable("maxQueue", c.w.MaxQueue != 0)
	c.rejectInapplicable("timeout", c.w.Timeout != 0)
}

// rejectInapplicable records a problem if a field is given that does not apply to
// the kind of the workload.
func (c *workloadCheck) rejectInapplicable(field string, given bool) {
	if given {
		c.problems.add(c.at(field), ReasonNotApplicable, string(c.w.Kind))
	}
}

func checkResources(p *problems, path string, r, least, most model.Resources) {
	checkRange(p, path+".milliCPU", r.MilliCPU, least.MilliCPU, most.MilliCPU)
	checkRange(p, path+".memoryMB", r.MemoryMB, least.MemoryMB, most.MemoryMB)
	checkRange(p, path+".accelerators", r.Accelerators, least.Accelerators, most.Accelerators)
}

func checkRange(p *problems, path string, n, least, most int64) {
	switch {
	case n < 0:
		p.add(path, ReasonNegative, fmt.Sprintf("%d", n))
	case n < least:
		p.add(path, ReasonTooSmall, fmt.Sprintf("%d; at least %d", n, least))
	case n > most:
		p.add(path, ReasonTooLarge, fmt.Sprintf("%d; at most %d", n, most))
	}
}

func checkDuration(p *problems, path string, d Duration, most time.Duration) {
	length := time.Duration(d)
	switch {
	case length < 0:
		p.add(path, ReasonNegative, d.String())
	case length%time.Millisecond != 0:
		p.add(path, ReasonNotWholeMilliseconds, d.String())
	case length > most:
		p.add(path, ReasonTooLarge, fmt.Sprintf("%s; at most %s", d, most))
	}
}

// checkName accepts names of lower-case letters, digits and hyphens that neither
// begin nor end with a hyphen. Names become parts of store keys and of task names:
// a slash or an @ in a name could give two different tasks the same key.
func checkName(p *problems, path, name string) {
	switch {
	case name == "":
		p.add(path, ReasonMissing, "")
	case len(name) > MaxNameBytes:
		p.add(path, ReasonTooLarge, fmt.Sprintf("%d bytes; at most %d", len(name), MaxNameBytes))
	case !ValidName(name):
		p.add(path, ReasonBadName, fmt.Sprintf("%q", name))
	}
}

// ValidName reports whether a name can be used in store keys and in logs, that is
// whether it has only lower-case letters, digits and inner hyphens. It does not
// check the length.
func ValidName(name string) bool {
	for i := range len(name) {
		c := name[i]
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		case c == '-' && i > 0 && i < len(name)-1:
		default:
			return false
		}
	}
	return true
}
