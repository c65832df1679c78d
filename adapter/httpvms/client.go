package httpvms

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// The default values of Options. A body of 8 MiB holds about 30,000 VMs.
const (
	DefaultTimeout   = 5 * time.Second
	DefaultMaxBytes  = 8 << 20
	DefaultFullEvery = 5 * time.Minute
)

// Options configures a Client. Every field except URL has a default that
// replaces its zero value.
type Options struct {
	// URL is the address of the list.
	URL string
	// Timeout limits one read of the list, including connection setup.
	Timeout time.Duration
	// MaxBytes limits the size of the response body after decompression.
	MaxBytes int64
	// FullEvery is the age of the cached list from which on the next request is
	// unconditional, even if the platform would report the list as unchanged.
	FullEvery time.Duration
	// Clock measures the age of the cached list; nil means the system clock.
	Clock port.Clock
	// TLS configures https connections; nil means the defaults of crypto/tls.
	TLS *tls.Config
}

// Client reads the list of VMs. It is safe for concurrent use.
type Client struct {
	o    Options
	http *http.Client

	mu     sync.Mutex
	cached *list
}

// list is a complete, valid list with the ETag that the platform sent with it.
// It is immutable.
type list struct {
	vms    []model.VM
	etag   string
	readAt time.Time
}

var _ port.VMList = (*Client)(nil)

// New returns a Client. Each read opens a new connection: reads are seconds
// apart, and if a middlebox dropped the state of a reused connection, the list
// would appear to be down for as long as the connection stayed in the pool.
//
// The transport requests gzip and decompresses transparently.
func New(o Options) *Client {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.MaxBytes = cmp.Or(o.MaxBytes, DefaultMaxBytes)
	o.FullEvery = cmp.Or(o.FullEvery, DefaultFullEvery)
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	return &Client{
		o: o,
		http: &http.Client{
			Timeout:   o.Timeout,
			Transport: &http.Transport{TLSClientConfig: o.TLS, DisableKeepAlives: true},
		},
	}
}

// List returns the current VMs. An error is a *port.VMListError whose cause is a
// *StatusError, *TagError, *TooLargeError, *DecodeError, *InvalidVMError or a
// failure of the HTTP exchange. VMs whose role is neither worker nor entry are
// omitted. The caller may modify the returned slice.
func (c *Client) List(ctx context.Context) ([]model.VM, error) {
	current, err := c.read(ctx)
	if err != nil {
		return nil, &port.VMListError{Cause: err}
	}
	return slices.Clone(current.vms), nil
}

// read returns the current list: the cached one if the platform reports it as
// unchanged, otherwise the one in the response.
func (c *Client) read(ctx context.Context) (*list, error) {
	asked := c.conditionalList()
	resp, err := c.sendRequest(ctx, asked)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && asked != nil:
		return c.checkNotModified(asked, resp)
	case resp.StatusCode != http.StatusOK:
		return nil, &StatusError{Status: resp.StatusCode}
	}
	body, err := c.readBody(resp)
	if err != nil {
		return nil, err
	}
	vms, err := decode(body)
	if err != nil {
		return nil, err
	}
	next := &list{vms: vms, etag: resp.Header.Get("ETag"), readAt: c.o.Clock.Now()}
	c.setCached(next)
	return next, nil
}

// conditionalList returns the cached list whose ETag makes the next request
// conditional, or nil if the next request must be unconditional.
//
// ETags are not fully reliable: one derived from a time in seconds stays the
// same when the list changes twice within a second, and a cache may send one
// that belongs to another list. The daemon would then use a stale list until the
// next change without noticing, so the list is fetched whole every FullEvery.
func (c *Client) conditionalList() *list {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached == nil || c.cached.etag == "" || c.o.Clock.Now().Sub(c.cached.readAt) >= c.o.FullEvery {
		return nil
	}
	return c.cached
}

func (c *Client) setCached(l *list) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached = l
}

// sendRequest sends one request. It is conditional on the ETag of known unless
// known is nil.
func (c *Client) sendRequest(ctx context.Context, known *list) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.o.URL, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Accept", "application/json")
	if known != nil {
		req.Header.Set("If-None-Match", known.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return resp, nil
}

// checkNotModified handles a 304 response and returns asked. If the response has
// the ETag of another list, checkNotModified clears the cache, so that the next
// request is unconditional, and returns a *TagError.
func (c *Client) checkNotModified(asked *list, resp *http.Response) (*list, error) {
	got := resp.Header.Get("ETag")
	if got == "" || opaqueTag(got) == opaqueTag(asked.etag) {
		return asked, nil
	}
	c.setCached(nil)
	return nil, &TagError{Asked: asked.etag, Got: got}
}

// opaqueTag returns etag without the prefix of a weak ETag. If-None-Match uses weak
// comparison, which ignores the prefix.
func opaqueTag(etag string) string { return strings.TrimPrefix(etag, "W/") }

// readBody returns the whole response body. It fails if the body is truncated or
// larger than MaxBytes: live VMs would appear to be gone in a truncated list.
func (c *Client) readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.o.MaxBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if int64(len(body)) > c.o.MaxBytes {
		return nil, &TooLargeError{MaxBytes: c.o.MaxBytes}
	}
	return body, nil
}

// decode parses and validates the list. It omits VMs of unknown roles.
func decode(body []byte) ([]model.VM, error) {
	var lines []model.VM
	if err := json.Unmarshal(body, &lines); err != nil {
		return nil, &DecodeError{Cause: err}
	}
	if lines == nil {
		return nil, &DecodeError{Cause: &NotAnArrayError{}}
	}
	vms := make([]model.VM, 0, len(lines))
	seen := make(map[model.WorkerID]bool, len(lines))
	for i, vm := range lines {
		if vm.Role != model.RoleWorker && vm.Role != model.RoleEntry {
			continue
		}
		if reason := invalidReason(vm, seen); reason != "" {
			return nil, &InvalidVMError{Index: i, ID: vm.ID, Reason: reason}
		}
		seen[vm.ID] = true
		vms = append(vms, vm)
	}
	return vms, nil
}

// invalidReason returns why vm is invalid, or "" if it is valid. seen holds the
// IDs of the preceding VMs.
func invalidReason(vm model.VM, seen map[model.WorkerID]bool) InvalidReason {
	size := vm.Capacity
	switch {
	case vm.ID == "":
		return MissingID
	case seen[vm.ID]:
		return DuplicateID
	case vm.State != model.VMLive && vm.State != model.VMLeaving:
		return UnknownState
	case vm.Address == "":
		return MissingAddress
	case size.MilliCPU < 0 || size.MemoryMB < 0 || size.Accelerators < 0:
		return NegativeCapacity
	case vm.Role == model.RoleWorker && vm.Rack == "":
		return MissingRack
	}
	return ""
}
