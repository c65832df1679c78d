package platform_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/guavarill/guavarill/standin/platform"
)

// patience bounds a call that is expected to be answered.
const patience = 20 * time.Second

// Guards against a store that answers nobody while one caller does not read its answer.
func TestUnreadAnswerHoldsUpNobody(t *testing.T) {
	site := platform.NewSite()
	defer site.Close()
	// Far more than the connection's buffers hold.
	const values, bytes = 64, 1 << 20
	for i := range values {
		site.Store.PutBytes(fmt.Sprintf("large/%d", i), make([]byte, bytes))
	}
	reader, err := net.Dial("tcp", site.StoreAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close() //nolint:errcheck // the test is over
	if _, err := io.WriteString(reader, "GET /kv-range?prefix=large/ HTTP/1.1\r\nHost: store\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// The answer has begun.
	if _, err := io.ReadFull(reader, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+site.StoreAddress()+"/kv-key?key=other", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("another call is not answered while the answer to the first is not read: %v", err)
	}
	defer resp.Body.Close() //nolint:errcheck // its status is enough
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("got status %d, want %d", resp.StatusCode, http.StatusNotFound)
	}
}
