package settings

import (
	"fmt"
	"math"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/guavarill/guavarill/core/manifest"
)

// Check validates each setting and the relations between them. It returns an
// *InvalidError for the first setting that is invalid.
func (d *Daemon) Check() error {
	checks := []func() error{
		d.checkNames, d.checkAddresses, d.checkPeerAddress, d.checkVMList,
		d.checkDurations, d.checkDurationRelations, d.checkNumbers, d.checkTLS,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) checkNames() error {
	names := []struct{ flag, value string }{
		{"cluster", d.Cluster}, {"id", d.ID}, {"zone", d.Zone},
	}
	for _, n := range names {
		switch {
		case n.value == "":
			return &InvalidError{Flag: n.flag, Reason: Missing}
		case !manifest.ValidName(n.value):
			return &InvalidError{Flag: n.flag, Value: n.value, Reason: NotName}
		case len(n.value) > manifest.MaxNameBytes:
			detail := fmt.Sprintf("at most %d bytes", manifest.MaxNameBytes)
			return &InvalidError{Flag: n.flag, Value: n.value, Reason: TooLong, Detail: detail}
		}
	}
	return nil
}

func (d *Daemon) checkAddresses() error {
	addresses := []struct {
		flag, value string
		// anyPort allows port 0, with which the system chooses the port.
		anyPort bool
	}{
		{"listen-callers", d.ListenCallers, true},
		{"listen-admin", d.ListenAdmin, true},
		{"listen-peers", d.ListenPeers, true},
		{"store", d.Store, false},
	}
	for _, a := range addresses {
		if a.value == "" {
			return &InvalidError{Flag: a.flag, Reason: Missing}
		}
		if _, err := splitAddress(a.flag, a.value, a.anyPort); err != nil {
			return err
		}
	}
	return nil
}

// splitAddress validates host:port and returns the host. Port 0 is allowed only
// with anyPort: it lets the system choose a port to listen on, but no peer can
// connect to it.
func splitAddress(flag, value string, anyPort bool) (string, error) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return "", &InvalidError{Flag: flag, Value: value, Reason: NotAddress}
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return "", &InvalidError{Flag: flag, Value: value, Reason: NotAddress}
	}
	if n == 0 && !anyPort {
		return "", &InvalidError{Flag: flag, Value: value, Reason: NotPort}
	}
	return host, nil
}

// checkPeerAddress rejects a peer address that other VMs cannot reach: a
// wildcard, a host name or, in --peer-address, port 0. Without --peer-address it
// checks the host of --listen-peers.
func (d *Daemon) checkPeerAddress() error {
	flag, value, anyPort := "peer-address", d.PeerAddress, false
	if value == "" {
		flag, value, anyPort = "listen-peers", d.ListenPeers, true
	}
	host, err := splitAddress(flag, value, anyPort)
	if err != nil {
		return err
	}
	ip := net.ParseIP(host)
	wildcard := host == "" || ip != nil && ip.IsUnspecified()
	switch {
	case wildcard && d.PeerAddress == "":
		detail := "--listen-peers " + value + " is a wildcard"
		return &InvalidError{Flag: "peer-address", Reason: Missing, Detail: detail}
	case wildcard:
		return &InvalidError{Flag: flag, Value: value, Reason: Wildcard}
	case ip == nil:
		return &InvalidError{Flag: flag, Value: value, Reason: NotIP}
	}
	return nil
}

func (d *Daemon) checkVMList() error {
	if d.VMList == "" {
		return &InvalidError{Flag: "vm-list", Reason: Missing}
	}
	u, err := url.Parse(d.VMList)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return &InvalidError{Flag: "vm-list", Value: d.VMList, Reason: NotURL}
	}
	return nil
}

// minLease is the shortest allowed lease. It leaves time for a few lost renewals
// and for the safety margin at the end of a lease.
const minLease = 3 * time.Second

func (d *Daemon) checkDurations() error {
	times := []struct {
		flag  string
		value time.Duration
		least time.Duration
	}{
		{"store-timeout", d.StoreTimeout, 0},
		{"lease-ttl", d.LeaseTTL, minLease},
		{"task-lease", d.TaskLease, minLease},
		{"outage-grace", d.OutageGrace, 0},
		{"balancer-notice", d.BalancerNotice, 0},
		{"drain-timeout", d.DrainTimeout, 0},
	}
	for _, t := range times {
		if t.value <= 0 {
			return &InvalidError{Flag: t.flag, Value: t.value.String(), Reason: NotPositive}
		}
		if t.value < t.least {
			detail := "at least " + t.least.String()
			return &InvalidError{Flag: t.flag, Value: t.value.String(), Reason: TooShort, Detail: detail}
		}
	}
	return nil
}

// storeCallsPerLease is the number of store calls, each as long as --store-timeout,
// that must fit into --lease-ttl. The lease is renewed after a third of its TTL,
// and a failed renewal must return before the safety margin at the lease's end.
const storeCallsPerLease = 3

// checkDurationRelations rejects durations that conflict with each other. If a store
// call may take as long as the lease, the daemon cannot distinguish a store outage
// from a pause of its own process, and it gives up its shards. A planned stop that
// ends before the load balancer has noticed it cuts off requests.
func (d *Daemon) checkDurationRelations() error {
	if storeCallsPerLease*d.StoreTimeout > d.LeaseTTL {
		detail := fmt.Sprintf("at most a third of --lease-ttl %s", d.LeaseTTL)
		return &InvalidError{Flag: "store-timeout", Value: d.StoreTimeout.String(), Reason: TooLong, Detail: detail}
	}
	if d.DrainTimeout <= d.BalancerNotice {
		detail := fmt.Sprintf("longer than --balancer-notice %s", d.BalancerNotice)
		return &InvalidError{Flag: "drain-timeout", Value: d.DrainTimeout.String(), Reason: TooShort, Detail: detail}
	}
	return nil
}

func (d *Daemon) checkNumbers() error {
	numbers := []struct {
		flag  string
		value float64
	}{
		{"store-reads", d.StoreReads},
		{"store-writes", d.StoreWrites},
		{"racks-per-shard", float64(d.RacksPerShard)},
		{"max-body-bytes", float64(d.MaxBodyBytes)},
		{"timeline-events", float64(d.TimelineEvents)},
	}
	for _, n := range numbers {
		switch {
		case math.IsNaN(n.value), math.IsInf(n.value, 0):
			return &InvalidError{Flag: n.flag, Value: fmt.Sprint(n.value), Reason: NotFinite}
		case n.value <= 0:
			return &InvalidError{Flag: n.flag, Value: fmt.Sprint(n.value), Reason: NotPositive}
		}
	}
	return nil
}

// checkTLS requires the certificate, the key and the CA file together. If only
// some are set, the error names the first one that is missing.
func (d *Daemon) checkTLS() error {
	if d.TLSCert == "" && d.TLSKey == "" && d.TLSCA == "" {
		return nil
	}
	files := []struct{ flag, value string }{
		{"tls-cert", d.TLSCert}, {"tls-key", d.TLSKey}, {"tls-ca", d.TLSCA},
	}
	for _, f := range files {
		if f.value == "" {
			return &InvalidError{Flag: f.flag, Reason: Incomplete}
		}
	}
	return nil
}
