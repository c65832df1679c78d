package joblog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// Line is one line of a daemon's log.
type Line struct {
	Time    time.Time `json:"time"`
	Daemon  string    `json:"daemon,omitempty"`
	Level   string    `json:"level,omitempty"`
	Message string    `json:"message"`
	// Job is the job that the line is about; empty for none.
	Job     job.ID `json:"job,omitempty"`
	Task    string `json:"task,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Worker  string `json:"worker,omitempty"`
	Epoch   int64  `json:"epoch,omitempty"`
	// Reason holds the inputs of a decision.
	Reason string `json:"reason,omitempty"`
	// Error is the cause of a failure, and Status the HTTP status of the answer
	// to the caller.
	Error  string `json:"error,omitempty"`
	Status int    `json:"status,omitempty"`
	Queue  string `json:"queue,omitempty"`
	// Suppressed is the number of routine lines that the rate limit suppressed
	// before this line.
	Suppressed int `json:"leftOut,omitempty"`
	// Dropped is the number of lines lost because standard output stalled.
	Dropped int `json:"dropped,omitempty"`
}

// wireLine is the JSON form in which daemons write a line.
type wireLine struct {
	Time    time.Time `json:"time"`
	Daemon  string    `json:"daemon"`
	Level   string    `json:"level"`
	Msg     string    `json:"msg"`
	Job     string    `json:"job"`
	Task    string    `json:"task"`
	Attempt int       `json:"attempt"`
	Worker  string    `json:"worker"`
	Epoch   int64     `json:"epoch"`
	Reason  string    `json:"reason"`
	Error   string    `json:"error"`
	Status  int       `json:"status"`
	Queue   string    `json:"queue"`
	LeftOut int       `json:"leftOut"`
	Lines   int       `json:"lines"`
}

// LineError reports a line that cannot be decoded. Number is the number of the
// line in its log, counted from 1.
type LineError struct {
	Number int
	Cause  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("log line %d: %v", e.Number, e.Cause) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// Parse parses a log. It skips text before the first brace of a line, which log
// collectors add, and lines without a brace. unread lists the lines with a brace
// that cannot be decoded, such as the last line of a truncated log. daemon is the
// daemon name for lines that have none.
func Parse(log []byte, daemon string) (lines []Line, unread []*LineError) {
	number := 0
	for text := range bytes.Lines(log) {
		number++
		brace := bytes.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		var w wireLine
		if err := json.Unmarshal(text[brace:], &w); err != nil {
			unread = append(unread, &LineError{Number: number, Cause: err})
			continue
		}
		lines = append(lines, w.line(daemon))
	}
	return lines, unread
}

func (w *wireLine) line(daemon string) Line {
	l := Line{
		Time: w.Time, Daemon: w.Daemon, Level: w.Level, Message: w.Msg, Job: job.ID(w.Job), Task: w.Task,
		Attempt: w.Attempt, Worker: w.Worker, Epoch: w.Epoch, Reason: w.Reason, Error: w.Error,
		Status: w.Status, Queue: w.Queue, Suppressed: w.LeftOut, Dropped: w.Lines,
	}
	if l.Daemon == "" {
		l.Daemon = daemon
	}
	return l
}

// Merge returns the lines of several logs in the order of their times. It drops
// duplicates, which occur when a saved log and a daemon's memory overlap.
func Merge(logs ...[]Line) []Line {
	all := slices.Concat(logs...)
	sort.SliceStable(all, func(i, k int) bool { return all[i].Time.Before(all[k].Time) })
	seen := make(map[Line]struct{}, len(all))
	return slices.DeleteFunc(all, func(l Line) bool {
		_, twice := seen[l]
		seen[l] = struct{}{}
		return twice
	})
}

// ForJob returns the lines about a job. The case of the id is ignored.
func ForJob(lines []Line, id job.ID) []Line {
	var about []Line
	for _, l := range lines {
		if strings.EqualFold(string(l.Job), string(id)) {
			about = append(about, l)
		}
	}
	return about
}

// Events returns the lines that are not about a job: those about daemons, the
// store, workers and the configuration.
func Events(lines []Line) []Line {
	var events []Line
	for _, l := range lines {
		if l.Job == "" {
			events = append(events, l)
		}
	}
	return events
}
