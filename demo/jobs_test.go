package demo

import (
	"context"
	"strings"
	"testing"
)

func TestRunJob(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	report, err := RunJob(context.Background(), &out)
	if err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	report.Write(&out)
	if !report.OK() {
		t.Errorf("%s", &out)
	}
}
