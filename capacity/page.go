package capacity

import (
	"bytes"
	_ "embed"
	"fmt"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageText string

// figures are what the page's template reads.
type figures struct {
	Today, Size Size
	Slopes      []Slope
	// Tables are for Size, TodayTables for Today, in the same order.
	Tables, TodayTables []Table
	Writes, Reads       []Calls
	Rack, Zone          Loss
	Measured            string
}

// Page returns the whole text of docs/CAPACITY.md. An error is one of the
// template, which is part of this package.
func Page() ([]byte, error) {
	t, err := template.New("page").Funcs(functions).Parse(pageText)
	if err != nil {
		return nil, &PageError{Cause: err}
	}
	s, today := TwoYears(), Today()
	var out bytes.Buffer
	err = t.Execute(&out, figures{
		Today: today, Size: s, Slopes: Slopes(),
		Tables:      []Table{CPU(s), Memory(s), Traffic(s)},
		TodayTables: []Table{CPU(today), Memory(today), Traffic(today)},
		Writes:      Writes(s), Reads: Reads(s),
		Rack:     LoseWorkers(s, workersPerRack, 0),
		Zone:     LoseWorkers(s, float64(s.Workers)/float64(s.Zones), float64(s.Entries)/float64(s.Zones)),
		Measured: Measured,
	})
	if err != nil {
		return nil, &PageError{Cause: err}
	}
	return out.Bytes(), nil
}

// PageError is a fault of the template.
type PageError struct{ Cause error }

// Error implements error.
func (e *PageError) Error() string { return "capacity page: " + e.Cause.Error() }

// Unwrap returns the template's error.
func (e *PageError) Unwrap() error { return e.Cause }

var functions = template.FuncMap{
	"n":  number,
	"n0": func(v float64) string { return thousands(fmt.Sprintf("%.0f", v)) },
	"n1": func(v float64) string { return thousands(fmt.Sprintf("%.1f", v)) },
	"n2": func(v float64) string { return thousands(fmt.Sprintf("%.2f", v)) },
	"n3": func(v float64) string { return thousands(fmt.Sprintf("%.3f", v)) },
	"kb": func(v float64) string { return thousands(fmt.Sprintf("%.1f", v/1024)) },
	"mb": func(v float64) string { return thousands(fmt.Sprintf("%.1f", v/mebibyte)) },
	"pct": func(v float64) string {
		return fmt.Sprintf("%.0f %%", 100*v)
	},
	"slope":        func(name string) float64 { return slope(Name(name)) },
	"mul":          func(a, b float64) float64 { return a * b },
	"div":          func(a, b float64) float64 { return a / b },
	"add":          func(a, b float64) float64 { return a + b },
	"float":        func(v int) float64 { return float64(v) },
	"idle":         func(c []Calls) float64 { return Sum(c, func(c Calls) float64 { return c.Idle }) },
	"peak":         func(c []Calls) float64 { return Sum(c, func(c Calls) float64 { return c.Peak }) },
	"verdict":      verdict,
	"writes":       Writes,
	"reads":        Reads,
	"startBudget":  startBudget,
	"requestCores": requestCores,
	"limit":        limit,
	"over":         TakenOver,
	"vmListEvery":  func() float64 { return vmListEvery },
	"vmListFull":   func() float64 { return vmListFullEvery },
	"taskOver":     func() float64 { return taskLease + leaseMargin },
	"regionEnds":   func() float64 { return daemonLease + taskLease },
}

// The limits by the names that the page uses.
func limit(name string) (float64, error) {
	limits := map[string]float64{
		"cpu": LimitCPU, "memory": LimitMemory, "traffic": LimitTraffic,
		"urgent": LimitUrgent, "config": LimitConfig, "writes": LimitWrites,
		"reads": LimitReads, "value": LimitValue, "encoded": LimitEncoded, "claims": LimitClaims,
	}
	v, known := limits[name]
	if !known {
		return 0, &UnknownLimitError{Name: name}
	}
	return v, nil
}

// UnknownLimitError is a name in the template that no limit has.
type UnknownLimitError struct{ Name string }

// Error implements error.
func (e *UnknownLimitError) Error() string { return "no limit named " + e.Name }

// verdict compares a figure with its limit.
func verdict(v, limit float64) string {
	if v <= limit {
		return "within"
	}
	return fmt.Sprintf("**over**, %s times", number(v/limit))
}

// number writes a figure with three digits that count.
func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 99.5:
		return thousands(fmt.Sprintf("%.0f", v))
	case v >= 9.95:
		return fmt.Sprintf("%.1f", v)
	case v >= 0.005:
		return fmt.Sprintf("%.2f", v)
	}
	return "< 0.01"
}

func thousands(digits string) string {
	whole, rest, _ := strings.Cut(digits, ".")
	var b strings.Builder
	for i, d := range whole {
		if i > 0 && (len(whole)-i)%3 == 0 {
			b.WriteByte(',')
		}
		b.WriteRune(d)
	}
	if rest != "" {
		b.WriteString("." + rest)
	}
	return b.String()
}
