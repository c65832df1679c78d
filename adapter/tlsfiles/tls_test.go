package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"
)

// clock is a settable port.Clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// authority is a certificate authority created for one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert = sign(t, template, template, &a.key.PublicKey, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, template, parent *x509.Certificate, public, signer any) *x509.Certificate {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

// write issues a certificate for 127.0.0.1 and writes the three files.
func (a *authority) write(t *testing.T, dir string, serial int64) {
	t.Helper()
	key := newKey(t)
	cert := sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.cert.Raw)
	writePEM(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", cert.Raw)
	writePEM(t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", keyDER)
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func newSource(t *testing.T, dir string, c *clock) *Source {
	t.Helper()
	s, err := New(Options{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
		CAFile: filepath.Join(dir, "ca.pem"), Interval: time.Second, Clock: c,
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake connects a client that uses one source to a server that uses another
// through their gRPC credentials. It returns the serial number of the server's
// certificate.
func handshake(t *testing.T, client, server *Source) (int64, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	served := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer func() { _ = conn.Close() }()
		_, _, err = server.GRPCServer().ServerHandshake(conn)
		served <- err
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, info, err := client.GRPCClient().Clone().ClientHandshake(t.Context(), l.Addr().String(), conn)
	if err != nil {
		_ = conn.Close()
		return 0, errors.Join(err, <-served)
	}
	state := info.(credentials.TLSInfo).State
	return state.PeerCertificates[0].SerialNumber.Int64(), <-served
}

// Guards against daemons rejecting each other some weeks after startup. This
// happens if files are read only once: the certificates on disk are renewed and
// the CA is replaced, and the certificates in memory expire.
func TestChangedFilesAreReloaded(t *testing.T) {
	dir, c := t.TempDir(), &clock{now: time.Now()}
	newAuthority(t).write(t, dir, 1)
	client, server := newSource(t, dir, c), newSource(t, dir, c)
	if serial, err := handshake(t, client, server); err != nil || serial != 1 {
		t.Fatalf("serial %d, %v", serial, err)
	}
	newAuthority(t).write(t, dir, 2)
	if serial, err := handshake(t, client, server); err != nil || serial != 1 {
		t.Errorf("before the interval: serial %d, %v", serial, err)
	}
	c.now = c.now.Add(time.Second)
	if serial, err := handshake(t, client, server); err != nil || serial != 2 {
		t.Errorf("after the interval: serial %d, %v", serial, err)
	}
	if got := server.Stats(); got != (Stats{Reloads: 1}) {
		t.Errorf("%+v", got)
	}
}

// Guards against all handshakes failing for a while during a renewal. This happens
// if a certificate and key that do not match are loaded because the files were
// read after the certificate was written and before the key was.
func TestMismatchedPairIsNotLoaded(t *testing.T) {
	dir, c := t.TempDir(), &clock{now: time.Now()}
	a := newAuthority(t)
	a.write(t, dir, 1)
	s := newSource(t, dir, c)
	key, err := os.ReadFile(filepath.Join(dir, "key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	a.write(t, dir, 2)
	if err := os.WriteFile(filepath.Join(dir, "key.pem"), key, 0o600); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(time.Second)
	if serial, err := handshake(t, s, s); err != nil || serial != 1 {
		t.Errorf("serial %d, %v", serial, err)
	}
	if s.Stats().Failures == 0 {
		t.Error("the failure was not counted")
	}
}

// Guards against any client that reaches the peer port being able to impersonate a
// daemon. This happens if the server does not require a client certificate: a
// client connects with a certificate signed by another CA, or with none.
func TestClientsWithoutACertificateOfTheCAAreRejected(t *testing.T) {
	dir, other, c := t.TempDir(), t.TempDir(), &clock{now: time.Now()}
	a := newAuthority(t)
	a.write(t, dir, 1)
	newAuthority(t).write(t, other, 2)
	writePEM(t, filepath.Join(other, "ca.pem"), "CERTIFICATE", a.cert.Raw)
	if _, err := handshake(t, newSource(t, other, c), newSource(t, dir, c)); err == nil {
		t.Error("server accepted a client with a certificate signed by another CA")
	}
	server := newSource(t, dir, c)
	conn, serverConn := net.Pipe()
	go func() {
		bare := tls.Client(conn, &tls.Config{MinVersion: tls.VersionTLS13, ServerName: "127.0.0.1", RootCAs: server.latest().roots, NextProtos: []string{"h2"}})
		_ = bare.Handshake()
		_, _ = bare.Read(make([]byte, 1))
		_ = conn.Close()
	}()
	if _, _, err := server.GRPCServer().ServerHandshake(serverConn); err == nil {
		t.Error("server accepted a client without a certificate")
	}
	_ = serverConn.Close()
}

func TestBadFiles(t *testing.T) {
	dir := t.TempDir()
	newAuthority(t).write(t, dir, 1)
	good := Options{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem"),
	}
	cases := map[ErrorKind]func(*Options){
		KindIncomplete: func(o *Options) { o.CAFile = "" },
		KindUnreadable: func(o *Options) { o.KeyFile = filepath.Join(dir, "absent") },
		KindBadKeyPair: func(o *Options) { o.CertFile = o.KeyFile },
		KindBadCA:      func(o *Options) { o.CAFile = o.KeyFile },
	}
	for kind, spoil := range cases {
		o := good
		spoil(&o)
		_, err := New(o)
		var e *Error
		if !errors.As(err, &e) || e.Kind != kind {
			t.Errorf("got %v, want kind %q", err, kind)
		}
	}
}
