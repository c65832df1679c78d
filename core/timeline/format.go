package timeline

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// timeLayout has a fixed width, so that lines are aligned and sort as text.
const timeLayout = "2006-01-02T15:04:05.000000Z"

const columnGap = "  "

// FormatError reports that writing formatted events failed.
type FormatError struct {
	Cause error
}

// Error implements error.
func (e *FormatError) Error() string { return "format time line: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// Format writes one line for each event in the given order: time, process,
// sequence, kind, subject, those of shard, epoch, revision and attempt that are
// set as name=value, and the detail. Each column is as wide as its widest value.
// Format returns a *FormatError if a write fails.
func Format(w io.Writer, events []Event) error {
	rows := make([][]string, len(events))
	for i := range events {
		rows[i] = columns(&events[i])
	}
	widths := columnWidths(rows)
	out := bufio.NewWriter(w)
	for _, row := range rows {
		// bufio.Writer keeps the first error and returns it from Flush.
		_, _ = out.WriteString(formatRow(row, widths))
	}
	if err := out.Flush(); err != nil {
		return &FormatError{Cause: err}
	}
	return nil
}

func columns(e *Event) []string {
	return []string{
		e.Time.UTC().Format(timeLayout),
		quoteUnprintable(e.Process),
		strconv.FormatUint(e.Sequence, 10),
		quoteUnprintable(string(e.Kind)),
		quoteUnprintable(e.Subject),
		position(e),
		quoteUnprintable(e.Detail),
	}
}

// position formats the shard, epoch, revision and attempt of an event, which order
// it among the events of its shard, configuration or task.
func position(e *Event) string {
	var parts []string
	if e.Shard != nil {
		parts = append(parts, fmt.Sprintf("shard=%d", *e.Shard))
	}
	if e.Epoch != 0 {
		parts = append(parts, fmt.Sprintf("epoch=%d", e.Epoch))
	}
	if e.Revision != 0 {
		parts = append(parts, fmt.Sprintf("revision=%d", e.Revision))
	}
	if e.Attempt != 0 {
		parts = append(parts, fmt.Sprintf("attempt=%d", e.Attempt))
	}
	return strings.Join(parts, " ")
}

// quoteUnprintable quotes text with unprintable characters, such as line breaks, or
// invalid UTF-8, so that each event takes one line.
func quoteUnprintable(s string) string {
	if !strings.ContainsFunc(s, isUnprintable) && utf8.ValidString(s) {
		return s
	}
	return strconv.Quote(s)
}

func isUnprintable(r rune) bool { return !strconv.IsPrint(r) }

func columnWidths(rows [][]string) []int {
	var widths []int
	for _, row := range rows {
		if widths == nil {
			widths = make([]int, len(row))
		}
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	return widths
}

func formatRow(row []string, widths []int) string {
	var b strings.Builder
	for i, cell := range row {
		if widths[i] == 0 {
			continue
		}
		if b.Len() > 0 {
			b.WriteString(columnGap)
		}
		b.WriteString(cell)
		b.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)))
	}
	return strings.TrimRight(b.String(), " ") + "\n"
}
