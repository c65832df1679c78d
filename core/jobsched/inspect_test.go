package jobsched

import (
	"strings"
	"testing"
	"time"
)

func TestInspectReportsWhyAStepWaits(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	first := makeStep(2, 1000, time.Second)
	second := makeStep(1, 1000, time.Second)
	second.After = []int{0}
	running := c.submit(1, "urgent", first, second)
	label := makeStep(3, 1000, time.Second)
	label.Label = "nowhere"
	waiting := c.submit(2, "batch", label)
	c.run(300 * time.Millisecond)

	view, known := c.machine.Inspect(running)
	if !known || len(view.Steps) != 2 || view.Steps[0].Running != 2 || view.Steps[1].Blocked != 1 {
		t.Errorf("running job: %+v", view)
	}
	if a := view.Steps[0].Attempts; len(a) != 2 || a[0].Phase != "running" {
		t.Errorf("attempts: %+v", a)
	}
	view, known = c.machine.Inspect(waiting)
	if !known || view.Steps[0].Waiting != 3 || !strings.Contains(view.Steps[0].RuledOut, "label 2") {
		t.Errorf("waiting job: %+v", view)
	}
	if _, known := c.machine.Inspect("ffffffffffffffff"); known {
		t.Error("a job that was never accepted is known to the machine")
	}
	if list := c.machine.List(1); len(list) != 1 || list[0].ID != running {
		t.Errorf("list: %+v", list)
	}
}
