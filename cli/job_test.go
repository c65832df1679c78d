package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/guavarill/guavarill/adapter/jobapi"
	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
)

const (
	outageLog = "../core/joblog/testdata/store-outage.log"
	jobText   = `{"steps": [{"count": 2, "size": {"milliCPU": 500, "memoryMB": 100}}]}`
	jobName   = "38794a2fe1bc1e9c"
)

// jobDaemon starts a fake interface for jobs and returns its address. It responds
// with 200 to the calls in responses, whose keys are "METHOD PATH", and with
// status and problem to all other calls.
func jobDaemon(t *testing.T, responses map[string]any, status int, problem jobapi.Problem) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, known := responses[r.Method+" "+r.URL.Path]
		if !known {
			response = problem
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(status)
		}
		if text, plain := response.(string); plain {
			fmt.Fprint(w, text)
			return
		}
		if err := json.NewEncoder(w).Encode(response); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func follower(t *testing.T) string {
	return jobDaemon(t, map[string]any{
		"GET /v1/status": jobapi.Status{Daemon: "a", Zone: "z1", Ready: true, ConfigVersion: 7, Peers: 1},
		"GET /v1/log":    `{"daemon":"a","msg":"job accepted","job":"` + jobName + `","queue":"q","time":"2026-05-01T02:07:20Z"}` + "\n",
	}, http.StatusConflict, jobapi.Problem{Kind: jobapi.ProblemNotLeading, Detail: "daemon a does not lead"})
}

func leader(t *testing.T) string {
	view := jobsched.JobView{
		ID: jobName, Queue: "q", State: job.Queued, AcceptedMs: 1777601240000, Priority: 2,
		Steps: []jobsched.StepView{{Name: jobName + ".0.0", Waiting: 2, RuledOut: "no room 3", HeldBack: "w1 has not answered",
			Crashes: []string{jobName + ".0.0.1: attempt 1 seen for 0s"}}},
	}
	return jobDaemon(t, map[string]any{
		"GET /v1/status":                     jobapi.Status{Daemon: "b", Zone: "z2", Ready: true, Leads: true, ConfigVersion: 7, StoreSilence: 3 * time.Millisecond, Peers: 1, Cordons: &jobapi.CordonStatus{Zones: cordon.Zones{"z1": 12, "z3": 9}, Age: time.Second}},
		"GET /v1/jobs":                       []jobsched.JobView{view},
		"GET /v1/jobs/" + jobName + "/tasks": view,
		"GET /v1/jobs/" + jobName:            jobapi.JobState{ID: jobName, State: job.Queued},
		"DELETE /v1/jobs/" + jobName:         jobapi.JobState{ID: jobName, State: job.Canceled},
		"POST /v1/queues/q/jobs/" + jobName:  jobapi.JobState{ID: jobName, State: job.Queued},
		"GET /v1/queues/q":                   jobapi.QueueStatus{Queue: "q", Waiting: 1},
		"GET /v1/log":                        `{"daemon":"b","msg":"job taken in","job":"` + jobName + `","epoch":4,"reason":"queue q, accepted 5ms ago under configuration 7","time":"2026-05-01T02:07:20.005Z"}` + "\n",
	}, http.StatusNotFound, jobapi.Problem{Kind: jobapi.ProblemUnknownJob, Detail: "job 0123456789abcdef does not exist"})
}

func TestJobOutput(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
	}{
		{"job-explain-refused", []string{"job", "explain", jobName, "--log", outageLog}},
		{"job-explain-failed", []string{"job", "explain", "4a3da32f0db5947d", "--log", outageLog}},
		{"job-explain-untold-json", []string{"job", "explain", "97e4bb9b6c8427d5", "--log", outageLog, "-o", "json"}},
		{"job-explain-waiting", []string{"job", "explain", jobName}},
		{"job-list-log", []string{"job", "list", "--log", outageLog}},
		{"job-list", []string{"job", "list"}},
		{"job-status-log", []string{"job", "status", "--log", outageLog}},
		{"job-status", []string{"job", "status"}},
		{"job-timeline-log", []string{"job", "timeline", "--log", outageLog}},
		{"job-timeline", []string{"job", "timeline", "--job", jobName}},
		{"job-submit", []string{"job", "submit", "--queue", "q", "--id", jobName, "FILE"}},
		{"job-state-json", []string{"job", "state", jobName, "-o", "json"}},
		{"job-cancel", []string{"job", "cancel", jobName}},
		{"job-queue", []string{"job", "queue", "q"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i, arg := range c.args {
				if arg == "FILE" {
					c.args[i] = file(t, jobText)
				}
			}
			r := guavarill([]string{follower(t), leader(t)}, c.args...)
			text := fmt.Sprintf("%s-- standard error --\n%s-- exit code %d --\n", r.out, r.errOut, r.code)
			goldie.New(t).Assert(t, c.name, []byte(text))
		})
	}
}

// TestJobSubmitExitCodes checks that the exit code tells whether the job may
// run, taking into account the outcomes of all daemons that were tried.
func TestJobSubmitExitCodes(t *testing.T) {
	down := jobDaemon(t, nil, http.StatusServiceUnavailable, jobapi.Problem{Kind: jobapi.ProblemNotDone, Detail: "not done"})
	unsure := jobDaemon(t, nil, http.StatusGatewayTimeout, jobapi.Problem{Kind: jobapi.ProblemUncertain, Detail: "not known"})
	invalid := jobDaemon(t, nil, http.StatusBadRequest, jobapi.Problem{Kind: jobapi.ProblemInvalid, Detail: "no steps"})
	for _, c := range []struct {
		name      string
		addresses []string
		text      string
		code      ExitCode
		says      string
	}{
		{"the second takes it", []string{down, leader(t)}, jobText, ExitOK, ""},
		{"nobody listens", []string{nobody(t)}, jobText, ExitNotMade, "refused"},
		{"the store is away", []string{down, nobody(t)}, jobText, ExitNotMade, "try again after 1 s"},
		{"one is not sure", []string{down, unsure, nobody(t)}, jobText, ExitUnknown, "not known"},
		{"one hangs up", []string{breaking(t), down}, jobText, ExitUnknown, "Post"},
		{"one is not sure, another takes it", []string{unsure, leader(t)}, jobText, ExitOK, ""},
		{"refused as invalid", []string{invalid, leader(t)}, jobText, ExitRefused, "no steps"},
		{"no steps", []string{leader(t)}, `{"steps": []}`, ExitRefused, "steps must be"},
		{"no JSON", []string{leader(t)}, `steps`, ExitRefused, "invalid character"},
	} {
		r := guavarill(c.addresses, "job", "submit", "--queue", "q", "--id", jobName, file(t, c.text))
		if r.code != c.code || !strings.Contains(r.errOut, c.says) {
			t.Errorf("%s: exit code %d, want %d: %s", c.name, r.code, c.code, r.errOut)
		}
	}
	for _, args := range [][]string{
		{"job", "submit", "--queue", "q", "--id", "xyz", file(t, jobText)},
		{"job", "submit", "--queue", "q"},
		{"job", "explain", "xyz"},
		{"job", "explain", jobName, "--log", "nowhere"},
	} {
		if r := guavarill([]string{leader(t)}, args...); r.code != ExitUsage {
			t.Errorf("%v: exit code %d: %s", args, r.code, r.errOut)
		}
	}
}
