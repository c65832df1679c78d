package httpvms

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// The defaults of Options. 8 MiB holds some 30,000 VMs.
const (
	DefaultTimeout  = 5 * time.Second
	DefaultMaxBytes = 8 << 20
)

// Options configure a Client. Zero fields but URL take their defaults.
type Options struct {
	// URL is where the list is read.
	URL string
	// Timeout bounds one read, connecting included.
	Timeout time.Duration
	// MaxBytes bounds the answer's body.
	MaxBytes int64
	// TLS is used for https; nil means the system's defaults.
	TLS *tls.Config
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	url      string
	maxBytes int64
	http     *http.Client
}

var _ port.VMList = (*Client)(nil)

// New returns a Client. Each read makes a new connection: reads are seconds
// apart, and a kept connection that something between the ends has forgotten
// would make the list look down for as long as it is kept.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	return &Client{
		url:      o.URL,
		maxBytes: o.MaxBytes,
		http: &http.Client{
			Timeout:   o.Timeout,
			Transport: &http.Transport{TLSClientConfig: o.TLS, DisableKeepAlives: true},
		},
	}
}

// List reads the list. An error is a *port.VMListError whose cause is a
// *StatusError, *TooLargeError, *DecodeError, *InvalidVMError or a failure of
// the exchange. VMs of roles that guavarill does not know are left out.
func (c *Client) List(ctx context.Context) ([]model.VM, error) {
	body, err := c.read(ctx)
	if err != nil {
		return nil, &port.VMListError{Cause: err}
	}
	vms, err := decode(body)
	if err != nil {
		return nil, &port.VMListError{Cause: err}
	}
	return vms, nil
}

// read fetches the whole body, or fails: a list that was cut short would make
// live VMs look gone.
func (c *Client) read(ctx context.Context) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Accept", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if int64(len(body)) > c.maxBytes {
		return nil, &TooLargeError{MaxBytes: c.maxBytes}
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
