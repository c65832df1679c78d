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

// Check returns an *InvalidError for the first setting that cannot be.
func (d *Daemon) Check() error {
	checks := []func() error{
		d.checkNames, d.checkAddresses, d.checkPeerAddress, d.checkVMList,
		d.checkTimes, d.checkTimesTogether, d.checkNumbers, d.checkTLS,
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
		// anyPort is whether the system may choose the port.
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

// splitAddress returns the host of host:port. Port 0 lets the system choose a
// port to listen on, and is nowhere to call.
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

// checkPeerAddress refuses an address that other VMs could not reach.
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

// minLease leaves room for a few lost renewals and the margin kept at a
// lease's end.
const minLease = 3 * time.Second

func (d *Daemon) checkTimes() error {
	times := []struct {
		flag  string
		value time.Duration
		least time.Duration
	}{
		{"store-timeout", d.StoreCall, 0},
		{"lease-ttl", d.LeaseTTL, minLease},
		{"task-lease", d.TaskLease, minLease},
		{"outage-grace", d.OutageGrace, 0},
		{"balancer-notice", d.BalancerNotice, 0},
		{"drain-timeout", d.DrainTimeout, 0},
	}
	for _, t := range times {
		if t.value <= 0 {
			return &InvalidError{Flag: t.flag, Value: t.value.String(), Reason: NotAbove0}
		}
		if t.value < t.least {
			detail := "at least " + t.least.String()
			return &InvalidError{Flag: t.flag, Value: t.value.String(), Reason: TooShort, Detail: detail}
		}
	}
	return nil
}

// callsPerLease is how many calls of the store must find room in a lease: it is
// renewed after a third of its time, and the answer to a renewal that failed
// must come before the margin at its end.
const callsPerLease = 3

// checkTimesTogether refuses times that defeat each other. A call of the store
// that takes as long as the lease makes an outage look like a pause of this
// daemon, which then gives its shards up. A stop that ends before the balancer
// noticed cuts off requests.
func (d *Daemon) checkTimesTogether() error {
	if callsPerLease*d.StoreCall > d.LeaseTTL {
		detail := fmt.Sprintf("at most a third of --lease-ttl %s", d.LeaseTTL)
		return &InvalidError{Flag: "store-timeout", Value: d.StoreCall.String(), Reason: TooLong, Detail: detail}
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
			return &InvalidError{Flag: n.flag, Value: fmt.Sprint(n.value), Reason: NotAbove0}
		}
	}
	return nil
}

// checkTLS names the first of the three files that is missing while another
// one is given.
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
