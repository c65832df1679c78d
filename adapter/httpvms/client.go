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

// The defaults of Options. 8 MiB holds some 30,000 VMs.
const (
	DefaultTimeout   = 5 * time.Second
	DefaultMaxBytes  = 8 << 20
	DefaultFullEvery = 5 * time.Minute
)

// Options configure a Client. Zero fields but URL take their defaults.
type Options struct {
	// URL is where the list is read.
	URL string
	// Timeout bounds one read, connecting included.
	Timeout time.Duration
	// MaxBytes bounds the answer's body, after it is decompressed.
	MaxBytes int64
	// FullEvery is the time after which the list is read whole although the
	// platform may call it unchanged.
	FullEvery time.Duration
	// Clock tells when that time has passed; nil is the machine's.
	Clock port.Clock
	// TLS is used for https; nil means the system's defaults.
	TLS *tls.Config
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	o    Options
	http *http.Client

	mu   sync.Mutex
	kept *list
}

// list is a whole list that was found valid, under the tag that the platform
// gave it. It is never changed.
type list struct {
	vms    []model.VM
	etag   string
	readAt time.Time
}

var _ port.VMList = (*Client)(nil)

// New returns a Client. Each read makes a new connection: reads are seconds
// apart, and a kept connection that something between the ends has forgotten
// would make the list look down for as long as it is kept.
//
// The transport asks for gzip and decompresses by itself.
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

// List reads the list. An error is a *port.VMListError whose cause is a
// *StatusError, *TagError, *TooLargeError, *DecodeError, *InvalidVMError or a
// failure of the exchange. VMs of roles that guavarill does not know are left
// out. The caller may change what it gets.
func (c *Client) List(ctx context.Context) ([]model.VM, error) {
	current, err := c.read(ctx)
	if err != nil {
		return nil, &port.VMListError{Cause: err}
	}
	return slices.Clone(current.vms), nil
}

// read returns the list as it is, which is the one kept when the platform says
// that it did not change.
func (c *Client) read(ctx context.Context) (*list, error) {
	asked := c.known()
	resp, err := c.ask(ctx, asked)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && asked != nil:
		return c.unchanged(asked, resp)
	case resp.StatusCode != http.StatusOK:
		return nil, &StatusError{Status: resp.StatusCode}
	}
	body, err := c.body(resp)
	if err != nil {
		return nil, err
	}
	vms, err := decode(body)
	if err != nil {
		return nil, err
	}
	next := &list{vms: vms, etag: resp.Header.Get("ETag"), readAt: c.o.Clock.Now()}
	c.keep(next)
	return next, nil
}

// known returns the list to ask for changes of, or nil to ask for all of it.
//
// Tags go wrong: one made of a time in seconds stays the same when the list
// changes twice in a second, and one from a cache may be another list's. The
// daemon would then hold an old list until the next change and not notice, so
// the list is read whole now and then.
func (c *Client) known() *list {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept == nil || c.kept.etag == "" || c.o.Clock.Now().Sub(c.kept.readAt) >= c.o.FullEvery {
		return nil
	}
	return c.kept
}

func (c *Client) keep(l *list) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = l
}

// ask sends one request, for the changes since known unless that is nil.
func (c *Client) ask(ctx context.Context, known *list) (*http.Response, error) {
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

// unchanged takes the answer that the list asked about is the current one. An
// answer about another tag is about another list; then the next read is whole.
func (c *Client) unchanged(asked *list, resp *http.Response) (*list, error) {
	got := resp.Header.Get("ETag")
	if got == "" || opaque(got) == opaque(asked.etag) {
		return asked, nil
	}
	c.keep(nil)
	return nil, &TagError{Asked: asked.etag, Got: got}
}

// opaque strips the mark of a weak tag, which does not count in this comparison.
func opaque(etag string) string { return strings.TrimPrefix(etag, "W/") }

// body reads the whole body, or fails: a list that was cut short would make
// live VMs look gone.
func (c *Client) body(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.o.MaxBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if int64(len(body)) > c.o.MaxBytes {
		return nil, &TooLargeError{MaxBytes: c.o.MaxBytes}
	}
	return body, nil
}

// decode reads and checks the list.
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
		if reason := problem(vm, seen); reason != "" {
			return nil, &InvalidVMError{Index: i, ID: vm.ID, Reason: reason}
		}
		seen[vm.ID] = true
		vms = append(vms, vm)
	}
	return vms, nil
}

// problem returns what is wrong with vm, or "".
func problem(vm model.VM, seen map[model.WorkerID]bool) InvalidReason {
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
