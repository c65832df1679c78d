package logsink

import (
	"bytes"
	"fmt"
	"testing"
)

func TestRecentKeepsTheLatestWholeLines(t *testing.T) {
	r := NewRecent(1000)
	for i := range 500 {
		fmt.Fprintf(r, "line %03d of the log\n", i)
	}
	kept := r.Lines()
	if len(kept) > 1000 || len(kept) < 500 {
		t.Errorf("kept %d bytes, want 500 to 1000", len(kept))
	}
	if !bytes.HasSuffix(kept, []byte("line 499 of the log\n")) || !bytes.HasPrefix(kept, []byte("line ")) {
		t.Errorf("kept lines are not whole or do not end with the last line: %q", kept)
	}
}
