package traffic_test

import (
	"io"
	"log"
	"os"
	"testing"
)

// TestMain discards net/http's log messages about unsolicited responses, which
// the tests cause in large numbers.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
