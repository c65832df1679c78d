package fate_test

import (
	"testing"

	"github.com/guavarill/guavarill/core/fate"
)

// TestOf checks the table of the package comment.
func TestOf(t *testing.T) {
	const (
		u = fate.Unknown
		n = fate.NotRun
		a = fate.Answered
	)
	want := [fate.NumStages][fate.NumSent]fate.Fate{
		fate.BeforeConnect: {n, u, u},
		fate.Connecting:    {n, u, u},
		fate.SendingHead:   {n, u, u},
		fate.SendingBody:   {n, u, u},
		fate.AwaitingHead:  {u, u, u},
		fate.ReadingHead:   {u, u, u},
		fate.ReadingBody:   {u, u, u},
		fate.AfterEnd:      {a, a, a},
		fate.NotStarted:    {n, n, n},
	}
	for p := range want {
		for s := range want[p] {
			got := fate.Of(fate.Stage(p), fate.Sent(s))
			if got != want[p][s] {
				t.Errorf("%s, %s sent: got %s, want %s", fate.Stage(p), fate.Sent(s), got, want[p][s])
			}
		}
	}
}

// A fate that is unknown must stay unknown if a retry certainly does not run. If only
// the fate of the last exchange is reported, a request runs twice: the first exchange
// breaks after sending, the target of the retry refuses the request, and the caller
// receives "not run" and repeats it.
func TestCombineKeepsUnknown(t *testing.T) {
	if got := fate.Unknown.Combine(fate.NotRun); got != fate.Unknown {
		t.Errorf("unknown, then not run: got %s", got)
	}
	if got := fate.NotRun.Combine(fate.Unknown); got != fate.Unknown {
		t.Errorf("not run, then unknown: got %s", got)
	}
	if got := fate.NotRun.Combine(fate.NotRun); got != fate.NotRun {
		t.Errorf("not run twice: got %s", got)
	}
	if got := fate.Unknown.Combine(fate.Answered); got != fate.Answered {
		t.Errorf("unknown, then answered: got %s", got)
	}
}
