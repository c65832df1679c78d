package main

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/server"
)

func arguments(more ...string) []string {
	return append([]string{
		"--cluster=c", "--id=entry-1", "--zone=a",
		"--listen-callers=127.0.0.1:0", "--listen-admin=127.0.0.1:0", "--listen-peers=127.0.0.1:0",
		"--store=127.0.0.1:1", "--vm-list=http://127.0.0.1:1/",
		"--balancer-notice=1ms", "--drain-timeout=100ms",
	}, more...)
}

func TestExitCodes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	// The context is already cancelled, so a daemon that starts by mistake stops at
	// once.
	ended, end := context.WithCancel(context.Background())
	end()
	for _, c := range []struct {
		name string
		args []string
		code int
		says string
	}{
		{"help", []string{"--help"}, exitOK, "--balancer-notice"},
		{"no zone", arguments("--zone="), exitSettings, "--zone"},
		{"negative time", arguments("--task-lease=-30s"), exitSettings, "--task-lease"},
		{"time without unit", arguments("--lease-ttl=10"), exitSettings, "lease-ttl"},
		{"unknown flag", arguments("--zones=a"), exitSettings, "zones"},
		{"stray argument", arguments("lease-ttl=10s"), exitSettings, `"lease-ttl=10s"`},
		{"unknown choice", arguments("--log-level=loud"), exitSettings, "log-level"},
		{"port in use", arguments("--listen-admin=" + taken.Addr().String()), exitFailed, taken.Addr().String()},
		{"no TLS files", arguments("--tls-cert=no", "--tls-key=no", "--tls-ca=no"), exitFailed, "TLS files"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errOut strings.Builder
			if code := run(ended, c.args, &out, &errOut); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if text := out.String() + errOut.String(); !strings.Contains(text, c.says) {
				t.Errorf("output does not contain %s:\n%s", c.says, text)
			}
		})
	}
}

// Guards against a port in use that is reported as invalid settings, and against
// listeners that stay open after a failed start, so that the next start fails too.
// Another process holds the peers' port, and the daemon is started twice.
func TestPortInUseIsTypedAndLeavesNothingOpen(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free := freeAddress(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for range 2 {
		_, err := start(arguments("--listen-callers="+free, "--listen-peers="+taken.Addr().String()), log)
		var failed *server.StartError
		if !errors.As(err, &failed) || failed.Part != server.PartPeers || !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatalf("start returned %v, want a *StartError for the peers' listener", err)
		}
	}
	again, err := net.Listen("tcp", free)
	if err != nil {
		t.Fatalf("callers' port is still in use: %v", err)
	}
	_ = again.Close()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
