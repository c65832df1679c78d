package settings

import (
	"errors"
	"os"
	"testing"

	flags "github.com/jessevdk/go-flags"
)

// requiredArgs sets the flags that have no fixed default.
var requiredArgs = []string{
	"--cluster=c", "--id=entry-1", "--zone=a",
	"--peer-address=10.0.0.1:8082", "--store=10.0.0.9:2379", "--vm-list=http://10.0.0.9/vms",
}

func parse(t *testing.T, args ...string) Daemon {
	t.Helper()
	d, err := Parse(append(requiredArgs[:len(requiredArgs):len(requiredArgs)], args...))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestDefaultsAreGood(t *testing.T) {
	d := parse(t)
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
}

func TestBadValuesNameTheFlag(t *testing.T) {
	for _, c := range []struct {
		arg    string
		flag   string
		value  string
		reason Reason
	}{
		{"--cluster=", "cluster", "", Missing},
		{"--cluster=Agency", "cluster", "Agency", NotName},
		{"--id=vm.internal", "id", "vm.internal", NotName},
		{"--zone=", "zone", "", Missing},
		{"--zone=mvd a", "zone", "mvd a", NotName},
		{"--listen-callers=", "listen-callers", "", Missing},
		{"--listen-callers=8080", "listen-callers", "8080", NotAddress},
		{"--listen-admin=127.0.0.1:http", "listen-admin", "127.0.0.1:http", NotAddress},
		{"--listen-peers=10.0.0.1:70000", "listen-peers", "10.0.0.1:70000", NotAddress},
		{"--store=", "store", "", Missing},
		{"--store=10.0.0.9", "store", "10.0.0.9", NotAddress},
		{"--store=10.0.0.9:0", "store", "10.0.0.9:0", NotPort},
		{"--peer-address=", "peer-address", "", Missing},
		{"--peer-address=entry-1:8082", "peer-address", "entry-1:8082", NotIP},
		{"--peer-address=0.0.0.0:8082", "peer-address", "0.0.0.0:8082", Wildcard},
		{"--peer-address=10.0.0.1:0", "peer-address", "10.0.0.1:0", NotPort},
		{"--vm-list=", "vm-list", "", Missing},
		{"--vm-list=10.0.0.9/vms", "vm-list", "10.0.0.9/vms", NotURL},
		{"--store-timeout=-1s", "store-timeout", "-1s", NotPositive},
		{"--store-timeout=3.5s", "store-timeout", "3.5s", TooLong},
		{"--lease-ttl=-10s", "lease-ttl", "-10s", NotPositive},
		{"--lease-ttl=1s", "lease-ttl", "1s", TooShort},
		{"--task-lease=-30s", "task-lease", "-30s", NotPositive},
		{"--task-lease=2s", "task-lease", "2s", TooShort},
		{"--outage-grace=-1s", "outage-grace", "-1s", NotPositive},
		{"--balancer-notice=0s", "balancer-notice", "0s", NotPositive},
		{"--drain-timeout=-1m", "drain-timeout", "-1m0s", NotPositive},
		{"--drain-timeout=5s", "drain-timeout", "5s", TooShort},
		{"--store-reads=0", "store-reads", "0", NotPositive},
		{"--store-reads=NaN", "store-reads", "NaN", NotFinite},
		{"--store-writes=-1", "store-writes", "-1", NotPositive},
		{"--store-writes=+Inf", "store-writes", "+Inf", NotFinite},
		{"--racks-per-shard=-2", "racks-per-shard", "-2", NotPositive},
		{"--max-body-bytes=0", "max-body-bytes", "0", NotPositive},
		{"--timeline-events=0", "timeline-events", "0", NotPositive},
		{"--tls-cert=cert.pem", "tls-key", "", Incomplete},
		{"--tls-ca=ca.pem", "tls-cert", "", Incomplete},
	} {
		t.Run(c.arg, func(t *testing.T) {
			d := parse(t, c.arg)
			var invalid *InvalidError
			if err := d.Check(); !errors.As(err, &invalid) {
				t.Fatalf("Check returned %v, want an *InvalidError", err)
			}
			if invalid.Flag != c.flag || invalid.Value != c.value || invalid.Reason != c.reason {
				t.Errorf("got an error for --%s %q: %q", invalid.Flag, invalid.Value, invalid.Reason)
			}
		})
	}
}

func TestSettingsComeFromTheEnvironment(t *testing.T) {
	t.Setenv("GUAVARILL_ZONE", "from-environment")
	d, err := Parse([]string{"--cluster=c"})
	if err != nil {
		t.Fatal(err)
	}
	if d.Zone != "from-environment" {
		t.Errorf("zone is %q, want the value of GUAVARILL_ZONE", d.Zone)
	}
}

func TestIDDefaultsToTheHostName(t *testing.T) {
	d := parse(t, "--id=")
	name, err := os.Hostname()
	if err != nil {
		t.Fatal(err)
	}
	if d.ID != name {
		t.Errorf("id is %q, want the host name %q", d.ID, name)
	}
}

func TestArgumentsThatAreNoFlagsAreRefused(t *testing.T) {
	for _, arg := range []string{"lease-ttl=10s", "--lease=10s", "--lease-ttl=10", "--log-level=loud"} {
		var wrong *flags.Error
		if _, err := Parse([]string{arg}); !errors.As(err, &wrong) {
			t.Errorf("%s: Parse returned %v, want a *flags.Error", arg, err)
		}
	}
}
