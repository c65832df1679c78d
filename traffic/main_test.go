package traffic_test

import (
	"io"
	"log"
	"os"
	"testing"
)

// TestMain drops what net/http writes to the standard logger of answers that
// nobody asked for, of which the tests cause many.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
