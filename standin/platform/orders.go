package platform

import (
	"encoding/json"
	"net/http"
	"time"
)

// order is the body of every call to a worker.
type order struct {
	Task string `json:"task"`
	Run  int    `json:"run"`
	// Specification is the job's, as its caller wrote it.
	Specification string `json:"specification"`
	UntilMs       int64  `json:"untilMs"`
	FencingToken  int64  `json:"fencingToken"`
	LastSeen      int64  `json:"lastSeen"`
	WaitMs        int64  `json:"waitMs"`
	Percent       int    `json:"percent"`
}

type orderAnswer struct {
	ClockMs  int64   `json:"clockMs"`
	Born     int64   `json:"born,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	gone := w.gone
	w.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.ID {
		answer(out, http.StatusMisdirectedRequest, orderAnswer{ClockMs: w.clock()})
		return
	}
	if !w.admit(o.FencingToken) {
		answer(out, http.StatusConflict, orderAnswer{ClockMs: w.clock(), Reason: "fence"})
		return
	}
	w.carryOut(out, r, o)
}

// carryOut carries out an order whose epoch was admitted.
func (w *Worker) carryOut(out http.ResponseWriter, r *http.Request, o order) {
	switch r.URL.Path {
	case "/run-start":
		w.serveStart(out, o)
	case "/run-stop":
		w.serveStop(out, o)
	case "/hold":
		w.serveHold(out, r, o)
	case "/pace":
		answer(out, http.StatusOK, orderAnswer{ClockMs: w.clock()})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) serveStart(out http.ResponseWriter, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := orderAnswer{ClockMs: w.clock()}
	switch {
	case o.UntilMs <= reply.ClockMs:
		reply.Reason = "late"
	case w.barred[o.Task] >= o.Run:
		reply.Reason = "old"
	}
	if reply.Reason != "" {
		answer(out, http.StatusConflict, reply)
		return
	}
	w.extend(o.UntilMs)
	if w.running[o.Task] == nil {
		w.begin(o)
	}
	answer(out, http.StatusOK, reply)
}

func (w *Worker) serveStop(out http.ResponseWriter, o order) {
	w.mu.Lock()
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	r := w.running[o.Task]
	w.mu.Unlock()
	if r != nil && r.number == o.Run {
		r.timer.Stop()
		w.finish(r, "stopped")
	}
	answer(out, http.StatusOK, orderAnswer{ClockMs: w.clock()})
}

func (w *Worker) serveHold(out http.ResponseWriter, r *http.Request, o order) {
	deadline := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		reply, ended := w.hold(o)
		if len(reply.Finished) > 0 {
			answer(out, http.StatusOK, reply)
			return
		}
		select {
		case <-ended:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			reply, _ = w.hold(o)
			answer(out, http.StatusOK, reply)
			return
		}
	}
}

// hold renews the lease, takes note of what was acknowledged and reports. The
// channel is closed at the next end.
func (w *Worker) hold(o order) (orderAnswer, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extend(o.UntilMs)
	w.acknowledge(o.LastSeen)
	return w.report(), w.ended
}

// acknowledge drops the ends up to the one that the caller saw last.
func (w *Worker) acknowledge(lastSeen int64) {
	for len(w.finished) > 0 && w.finished[0].number <= lastSeen {
		if w.finished[0].how == "done" && !w.finished[0].void {
			w.Audit.note(AuditSettled, w.finished[0].task, w.ID)
		}
		w.finished = w.finished[1:]
	}
}

// report tells what runs and the ends that are not acknowledged.
func (w *Worker) report() orderAnswer {
	reply := orderAnswer{ClockMs: w.clock(), Born: w.Born}
	for task, r := range w.running {
		// Tasks without an end are at work from the start.
		percent := 100
		if r.life > 0 {
			percent = min(int(100*time.Since(r.began)/r.life), 99)
		}
		reply.Running = append(reply.Running, []any{task, r.number, "", percent, 0})
	}
	for _, e := range w.finished {
		reply.Finished = append(reply.Finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return reply
}
