package joblog

import (
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/guavarill/guavarill/core/job"
)

// The jobs of testdata/store-outage.log, which has the lines of nine daemons
// before, during and after a store outage of four seconds.
const (
	refusedJob        job.ID = "38794a2fe1bc1e9c"
	unknownOutcomeJob job.ID = "97e4bb9b6c8427d5"
	failedJob         job.ID = "4a3da32f0db5947d"
	takenOverJob      job.ID = "9ea694efb3dbe812"
	unknownJob        job.ID = "0123456789abcdef"
	outageLines              = "testdata/store-outage.log"
)

func savedLines(t *testing.T) []Line {
	t.Helper()
	text, err := os.ReadFile(outageLines)
	if err != nil {
		t.Fatal(err)
	}
	lines, unread := Parse(text, "")
	if len(unread) > 0 {
		t.Fatal(unread[0])
	}
	return Merge(lines)
}

func TestExplain(t *testing.T) {
	lines := savedLines(t)
	for name, id := range map[string]job.ID{
		"refused": refusedJob, "untold": unknownOutcomeJob, "failed": failedJob, "takenover": takenOverJob, "unheard": unknownJob,
	} {
		e := Explain(lines, id)
		e.Lines = nil
		text, err := json.MarshalIndent(e, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, name, text)
	}
}

func TestParseSkipsOtherText(t *testing.T) {
	log := "started by hand\n" +
		`  7.43 host-1 {"msg":"leads","epoch":4,"time":"2026-05-01T02:07:21Z"}` + "\n\n" +
		`{"msg":"job accepted","job":"38794a2f`
	lines, unread := Parse([]byte(log), "host-1")
	if len(lines) != 1 || lines[0].Message != MessageLeadershipAcquired || lines[0].Daemon != "host-1" || lines[0].Epoch != 4 {
		t.Errorf("lines: %+v", lines)
	}
	if len(unread) != 1 || unread[0].Number != 4 {
		t.Errorf("unread: %v", unread)
	}
}

func TestMergeDropsDuplicates(t *testing.T) {
	lines := savedLines(t)
	reversed := slices.Clone(lines)
	slices.Reverse(reversed)
	merged := Merge(reversed, lines[:len(lines)/2])
	if len(merged) != len(lines) {
		t.Errorf("%d lines of %d", len(merged), len(lines))
	}
	if !slices.IsSortedFunc(merged, func(a, b Line) int { return a.Time.Compare(b.Time) }) {
		t.Error("not in the order of time")
	}
}

func TestSummaries(t *testing.T) {
	lines := savedLines(t)
	jobs := SummarizeJobs(lines)
	if len(jobs) != 4 || jobs[1].Job != failedJob || jobs[1].Outcome != "failed" || jobs[1].Attempts != 10 {
		t.Errorf("jobs: %+v", jobs)
	}
	leaders := 0
	for _, d := range SummarizeDaemons(lines) {
		if d.IsLeader {
			leaders++
		}
		if d.StoreLost {
			t.Errorf("%s is reported without the store, which returned", d.Daemon)
		}
	}
	if leaders != 1 {
		t.Errorf("%d leaders, want 1", leaders)
	}
	if events := Events(lines); len(events) == 0 || slices.ContainsFunc(events, func(l Line) bool { return l.Job != "" }) {
		t.Error("events hold lines about jobs")
	}
}

// TestExplainReportsJobSetAside checks that the explanation of a job whose records
// cannot be read names that cause. Otherwise the operator would look for missing
// capacity.
func TestExplainReportsJobSetAside(t *testing.T) {
	at := time.Unix(0, 0)
	found := strings.Join(Explain([]Line{
		{Time: at, Message: MessageJobAccepted, Job: failedJob, Daemon: "a"},
		{Time: at.Add(time.Second), Message: MessageJobSetAside, Job: failedJob, Daemon: "b", Reason: "its records cannot be read"},
	}, failedJob).Findings, "; ")
	if !strings.Contains(found, "b set it aside at") || !strings.Contains(found, "its records cannot be read") {
		t.Errorf("findings: %s", found)
	}
}

// TestExplainReportsRefusedRecord checks that the explanation of a job whose record the
// store refuses names that, and not only that the job failed.
func TestExplainReportsRefusedRecord(t *testing.T) {
	at := time.Unix(0, 0)
	const reason = "its record cannot be stored: it has 1976147 bytes"
	e := Explain([]Line{
		{Time: at, Message: MessageJobAccepted, Job: failedJob, Daemon: "a"},
		{Time: at.Add(time.Second), Message: MessageJobSetAside, Job: failedJob, Daemon: "b", Reason: reason},
		{Time: at.Add(time.Second), Message: JobFinalMessage(job.Failed), Job: failedJob, Daemon: "b", Reason: reason},
	}, failedJob)
	if found := strings.Join(e.Findings, "; "); e.Outcome != string(job.Failed) || strings.Count(found, reason) != 2 {
		t.Errorf("%s; findings: %s", e.Outcome, found)
	}
}

// TestExplainReportsHeldStarts checks that the explanation of a step whose start
// is held back after a takeover names the worker that it waits for. Such a step
// does not wait for capacity.
func TestExplainReportsHeldStarts(t *testing.T) {
	at := time.Unix(0, 0)
	step := string(failedJob) + ".0.0"
	found := strings.Join(Explain([]Line{
		{Time: at, Message: MessageJobTakenIn, Job: failedJob, Daemon: "a"},
		{Time: at.Add(time.Second), Message: MessageStartHeldBack, Job: failedJob, Task: step, Worker: "w1", Reason: "until 5s from now"},
		{Time: at.Add(4 * time.Second), Message: MessageStartHeldBack, Job: failedJob, Task: step, Worker: "w2", Reason: "until 2s from now"},
	}, failedJob).Findings, "; ")
	if !strings.Contains(found, "held back 2 time(s)") || !strings.Contains(found, "for w2: until 2s from now") {
		t.Errorf("findings: %s", found)
	}
}

func TestExplainReportsCrashes(t *testing.T) {
	at := time.Unix(0, 0)
	task := string(failedJob) + ".0.0.3"
	found := strings.Join(Explain([]Line{
		{Time: at, Message: MessageJobTakenIn, Job: failedJob, Daemon: "a"},
		{Time: at.Add(time.Second), Message: MessageCrashCounted, Job: failedJob, Task: task, Attempt: 1, Reason: "attempt 1 seen for 0s"},
		{Time: at.Add(4 * time.Second), Message: MessageCrashCounted, Job: failedJob, Task: task, Attempt: 2, Reason: "attempt 1 seen for 0s, attempt 2 seen for 0s"},
	}, failedJob).Findings, "; ")
	if !strings.Contains(found, "task "+task+" ended with its worker 2 time(s)") || !strings.Contains(found, "attempt 2 seen for 0s") {
		t.Errorf("findings: %s", found)
	}
}

// TestExplainReportsGaps checks that an explanation reports suppressed and dropped
// lines, because they may have contained the cause.
func TestExplainReportsGaps(t *testing.T) {
	at := time.Unix(0, 0)
	lines := []Line{
		{Time: at, Message: MessageJobTakenIn, Job: failedJob},
		{Time: at.Add(time.Second), Message: MessageAttemptStarted, Job: takenOverJob, Suppressed: 7},
		{Time: at.Add(2 * time.Second), Message: MessageLinesDropped, Dropped: 3},
		{Time: at.Add(3 * time.Second), Message: JobFinalMessage(job.Failed), Job: failedJob},
	}
	gaps := strings.Join(Explain(lines, failedJob).Gaps, "; ")
	if !strings.Contains(gaps, "7 routine lines") || !strings.Contains(gaps, "3 lines were dropped") {
		t.Errorf("gaps: %s", gaps)
	}
}

// Guards against a rejected job whose answer does not say why it was rejected, and against
// one that is shown as rejected although it was accepted later.
func TestExplainReportsRejection(t *testing.T) {
	log := `{"daemon":"host-1","msg":"request refused","job":"38794a2fe1bc1e9c","status":504,"error":"not known: timeout","time":"2026-05-01T02:07:20Z"}
{"daemon":"host-2","msg":"request refused","job":"38794a2fe1bc1e9c","status":429,"error":"queue q is overloaded: share 0.25","time":"2026-05-01T02:07:21Z"}
`
	accepted := `{"daemon":"host-3","msg":"job accepted","job":"38794a2fe1bc1e9c","queue":"q","time":"2026-05-01T02:07:25Z"}
`
	for text, want := range map[string]string{log: "rejected", log + accepted: "accepted"} {
		lines, _ := Parse([]byte(text), "")
		e := Explain(lines, refusedJob)
		if e.Outcome != want {
			t.Errorf("outcome %q, want %q", e.Outcome, want)
		}
		const finding = "rejected for want of room at 02:07:21.000 by host-2: queue q is overloaded: share 0.25"
		if !slices.Contains(e.Findings, finding) {
			t.Errorf("findings %q, want one of them to be %q", e.Findings, finding)
		}
	}
}
