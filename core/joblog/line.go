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
	// Job is the job that the line is about, empty for none.
	Job     job.ID `json:"job,omitempty"`
	Task    string `json:"task,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Worker  string `json:"worker,omitempty"`
	Epoch   int64  `json:"epoch,omitempty"`
	// Reason holds the inputs of a decision.
	Reason string `json:"reason,omitempty"`
	// Error is the cause of a failure, Status the answer that a caller got.
	Error  string `json:"error,omitempty"`
	Status int    `json:"status,omitempty"`
	Queue  string `json:"queue,omitempty"`
	// Suppressed counts routine lines left out before this one.
	Suppressed int `json:"leftOut,omitempty"`
	// Dropped counts lines lost because standard output stalled.
	Dropped int `json:"dropped,omitempty"`
}

// wireLine is a line as daemons write it.
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

// LineError is a line that cannot be read.
type LineError struct {
	Number int
	Cause  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("log line %d: %v", e.Number, e.Cause) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// Parse reads a log. Text before the first brace of a line, which collectors of
// logs put there, is passed over, and so are lines without one. unread lists
// the lines that look like a daemon's and cannot be read; a log that was cut off
// ends in one. daemon is the name for lines that do not say whose they are.
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

// Merge returns the lines of several logs in the order of their times. A line
// that is in two of them, as when a saved log and a daemon's memory overlap, is
// returned once.
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

// ForJob returns the lines about a job.
func ForJob(lines []Line, id job.ID) []Line {
	var about []Line
	for _, l := range lines {
		if strings.EqualFold(string(l.Job), string(id)) {
			about = append(about, l)
		}
	}
	return about
}

// Events returns the lines that tell what daemons came to believe of each
// other, the store, the workers and the configuration, without those of jobs.
func Events(lines []Line) []Line {
	var events []Line
	for _, l := range lines {
		if l.Job == "" {
			events = append(events, l)
		}
	}
	return events
}
