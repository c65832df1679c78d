package settings

import (
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/guavarill/guavarill/core/manifest"
)

// Daemon is everything that guavarilld can be told. Each field is a flag, an
// environment variable, its default and its explanation.
type Daemon struct {
	Cluster string `long:"cluster" env:"GUAVARILL_CLUSTER" description:"name of the cluster; keys in the store and calls between daemons carry it (required)"`
	ID      string `long:"id" env:"GUAVARILL_ID" description:"this daemon's name, unique within the cluster; default: the VM's host name"`
	Zone    string `long:"zone" env:"GUAVARILL_ZONE" description:"availability zone of this VM (required)"`

	ListenCallers string `long:"listen-callers" env:"GUAVARILL_LISTEN_CALLERS" default:"0.0.0.0:8080" description:"host:port on which callers' requests are taken"`
	ListenAdmin   string `long:"listen-admin" env:"GUAVARILL_LISTEN_ADMIN" default:"127.0.0.1:8081" description:"host:port of the operators' interface and the metrics"`
	ListenPeers   string `long:"listen-peers" env:"GUAVARILL_LISTEN_PEERS" default:"0.0.0.0:8082" description:"host:port on which other daemons are answered"`
	PeerAddress   string `long:"peer-address" env:"GUAVARILL_PEER_ADDRESS" description:"host:port under which other daemons reach --listen-peers, an IP number; default: the address listened on (required when that is a wildcard)"`

	Store     string        `long:"store" env:"GUAVARILL_STORE" description:"host:port of the platform's key-value service (required)"`
	VMList    string        `long:"vm-list" env:"GUAVARILL_VM_LIST" description:"URL of the platform's list of VMs (required)"`
	StoreCall time.Duration `long:"store-timeout" env:"GUAVARILL_STORE_TIMEOUT" default:"2s" description:"deadline of one call of the store"`

	StoreReads  float64 `long:"store-reads" env:"GUAVARILL_STORE_READS" default:"1500" description:"reads a second that all daemons together may make of the store"`
	StoreWrites float64 `long:"store-writes" env:"GUAVARILL_STORE_WRITES" default:"300" description:"writes a second that all daemons together may make of the store"`

	LeaseTTL       time.Duration `long:"lease-ttl" env:"GUAVARILL_LEASE_TTL" default:"10s" description:"time of this daemon's lease in the store; a dead daemon's shards are taken over after it"`
	TaskLease      time.Duration `long:"task-lease" env:"GUAVARILL_TASK_LEASE" default:"30s" description:"time of a task's lease on its worker; a task on a lost worker resumes elsewhere after it; the same on all daemons"`
	OutageGrace    time.Duration `long:"outage-grace" env:"GUAVARILL_OUTAGE_GRACE" default:"20s" description:"how long after the last confirmed outage of the store tasks' leases are still renewed; the same on all daemons"`
	BalancerNotice time.Duration `long:"balancer-notice" env:"GUAVARILL_BALANCER_NOTICE" default:"5s" description:"how long a planned stop goes on accepting requests after /readyz fails"`
	DrainTimeout   time.Duration `long:"drain-timeout" env:"GUAVARILL_DRAIN_TIMEOUT" default:"60s" description:"how long a planned stop waits for requests in flight"`
	RacksPerShard  int           `long:"racks-per-shard" env:"GUAVARILL_RACKS_PER_SHARD" default:"2" description:"racks whose workers share one ledger; the same on all daemons"`

	MaxBodyBytes int64 `long:"max-body-bytes" env:"GUAVARILL_MAX_BODY_BYTES" default:"1048576" description:"largest body of a caller's request, bytes"`

	TLSCert string `long:"tls-cert" env:"GUAVARILL_TLS_CERT" description:"file with this daemon's certificate towards other daemons, PEM; read again when it changes"`
	TLSKey  string `long:"tls-key" env:"GUAVARILL_TLS_KEY" description:"file with the certificate's key, PEM"`
	TLSCA   string `long:"tls-ca" env:"GUAVARILL_TLS_CA" description:"file with the certificates that other daemons' must be signed by, PEM"`

	LogFormat string `long:"log-format" env:"GUAVARILL_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"form of log lines"`
	LogLevel  string `long:"log-level" env:"GUAVARILL_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`

	TimelineEvents int    `long:"timeline-events" env:"GUAVARILL_TIMELINE_EVENTS" default:"20000" description:"events of the time line that are kept in memory"`
	Seed           uint64 `long:"seed" env:"GUAVARILL_SEED" description:"seed of random choices; 0 takes the time of the start"`
}

// Reason says what is wrong with a setting.
type Reason string

// The reasons of an InvalidError.
const (
	Missing    Reason = "is required"
	NotAddress Reason = "is not host:port"
	NotIP      Reason = "must name an IP number"
	NotURL     Reason = "is not an http or https URL"
	NotName    Reason = "may hold lower case letters, digits and dashes only"
	NotAbove0  Reason = "must be above 0"
	TooShort   Reason = "is too short"
	Incomplete Reason = "must be given together with --tls-cert, --tls-key and --tls-ca"
)

// InvalidError names the flag and the value that cannot be.
type InvalidError struct {
	Flag   string
	Value  string
	Reason Reason
	// Detail adds what the value is compared with.
	Detail string
}

// Error implements error.
func (e *InvalidError) Error() string {
	text := fmt.Sprintf("--%s %q %s", e.Flag, e.Value, e.Reason)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// Check returns an *InvalidError for the first setting that cannot be.
func (d *Daemon) Check() error {
	checks := []func() error{
		d.checkNames, d.checkAddresses, d.checkTimes, d.checkNumbers, d.checkTLS,
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
		if n.value == "" {
			return &InvalidError{Flag: n.flag, Reason: Missing}
		}
		if !manifest.ValidName(n.value) {
			return &InvalidError{Flag: n.flag, Value: n.value, Reason: NotName}
		}
	}
	return nil
}

func (d *Daemon) checkAddresses() error {
	addresses := []struct{ flag, value string }{
		{"listen-callers", d.ListenCallers},
		{"listen-admin", d.ListenAdmin},
		{"listen-peers", d.ListenPeers},
		{"store", d.Store},
	}
	for _, a := range addresses {
		if a.value == "" {
			return &InvalidError{Flag: a.flag, Reason: Missing}
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return &InvalidError{Flag: a.flag, Value: a.value, Reason: NotAddress}
		}
	}
	if err := d.checkPeerAddress(); err != nil {
		return err
	}
	return d.checkVMList()
}

// checkPeerAddress refuses an address that other VMs could not reach.
func (d *Daemon) checkPeerAddress() error {
	flag, value := "peer-address", d.PeerAddress
	if value == "" {
		flag, value = "listen-peers", d.ListenPeers
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return &InvalidError{Flag: flag, Value: value, Reason: NotAddress}
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return &InvalidError{Flag: flag, Value: value, Reason: NotIP}
	}
	if ip.IsUnspecified() {
		return &InvalidError{Flag: "peer-address", Value: d.PeerAddress, Reason: Missing, Detail: "the daemon listens on a wildcard"}
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

// minLeaseTTL leaves room for a few lost renewals and the daemon's margin.
const minLeaseTTL = 3 * time.Second

func (d *Daemon) checkTimes() error {
	times := []struct {
		flag  string
		value time.Duration
	}{
		{"store-timeout", d.StoreCall},
		{"lease-ttl", d.LeaseTTL},
		{"task-lease", d.TaskLease},
		{"outage-grace", d.OutageGrace},
		{"drain-timeout", d.DrainTimeout},
	}
	for _, t := range times {
		if t.value <= 0 {
			return &InvalidError{Flag: t.flag, Value: t.value.String(), Reason: NotAbove0}
		}
	}
	switch {
	case d.BalancerNotice < 0:
		return &InvalidError{Flag: "balancer-notice", Value: d.BalancerNotice.String(), Reason: NotAbove0}
	case d.LeaseTTL < minLeaseTTL:
		return &InvalidError{Flag: "lease-ttl", Value: d.LeaseTTL.String(), Reason: TooShort, Detail: "at least " + minLeaseTTL.String()}
	case d.TaskLease < minLeaseTTL:
		return &InvalidError{Flag: "task-lease", Value: d.TaskLease.String(), Reason: TooShort, Detail: "at least " + minLeaseTTL.String()}
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
		if n.value <= 0 {
			return &InvalidError{Flag: n.flag, Value: fmt.Sprint(n.value), Reason: NotAbove0}
		}
	}
	return nil
}

func (d *Daemon) checkTLS() error {
	given := 0
	for _, file := range []string{d.TLSCert, d.TLSKey, d.TLSCA} {
		if file != "" {
			given++
		}
	}
	if given == 0 || given == 3 {
		return nil
	}
	return &InvalidError{Flag: "tls-cert", Value: d.TLSCert, Reason: Incomplete}
}
