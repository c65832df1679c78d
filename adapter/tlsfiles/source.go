package tlsfiles

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/guavarill/guavarill/port"
)

// DefaultInterval is the default of Options.Interval.
const DefaultInterval = 10 * time.Second

// Options configures a Source. All three files are required: peers authenticate
// each other with certificates signed by the same CA.
type Options struct {
	CertFile string
	KeyFile  string
	CAFile   string
	// Interval is the minimum time between two reads of the files; 0 means
	// DefaultInterval.
	Interval time.Duration
	// Clock measures Interval; nil means the system clock.
	Clock port.Clock
}

// Source holds the certificates that were loaded last and reloads changed files.
// It is safe for concurrent use.
type Source struct {
	o Options

	mu          sync.Mutex
	lastChecked time.Time
	pem         pemFiles
	current     parsedFiles
	stats       Stats
}

// Stats holds the counters of a Source.
type Stats struct {
	// Reloads counts reloads of changed files.
	Reloads uint64
	// Failures counts failed reads, after which the previous certificates stay
	// in use.
	Failures uint64
}

// pemFiles holds the contents of the three files.
type pemFiles struct {
	cert, key, ca []byte
}

func (c pemFiles) equal(o pemFiles) bool {
	return bytes.Equal(c.cert, o.cert) && bytes.Equal(c.key, o.key) && bytes.Equal(c.ca, o.ca)
}

// parsedFiles holds the certificate and the CA pool parsed from the files.
type parsedFiles struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// New loads the files and returns a Source. An error is an *Error.
func New(o Options) (*Source, error) {
	if o.CertFile == "" || o.KeyFile == "" || o.CAFile == "" {
		return nil, &Error{Kind: KindIncomplete}
	}
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	s := &Source{o: o, lastChecked: o.Clock.Now()}
	pem, err := s.read()
	if err != nil {
		return nil, err
	}
	current, err := parse(o, pem)
	if err != nil {
		return nil, err
	}
	s.pem, s.current = pem, current
	return s, nil
}

// Stats returns a copy of the counters.
func (s *Source) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// latest returns the certificates in use. It first reloads the files if they were
// last read at least one interval ago.
func (s *Source) latest() parsedFiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	if now.Sub(s.lastChecked) < s.o.Interval {
		return s.current
	}
	s.lastChecked = now
	s.reload()
	return s.current
}

// reload parses the files if they changed and keeps the previous certificates on
// failure. Most tools replace the certificate and the key one after the other, so
// a read between the two finds a pair that does not match. If that pair were
// used, every handshake until the next read would fail.
func (s *Source) reload() {
	pem, err := s.read()
	if err != nil {
		s.stats.Failures++
		return
	}
	if pem.equal(s.pem) {
		return
	}
	next, err := parse(s.o, pem)
	if err != nil {
		s.stats.Failures++
		return
	}
	s.pem, s.current = pem, next
	s.stats.Reloads++
}

func (s *Source) read() (pemFiles, error) {
	var c pemFiles
	files := []struct {
		name string
		into *[]byte
	}{{s.o.CertFile, &c.cert}, {s.o.KeyFile, &c.key}, {s.o.CAFile, &c.ca}}
	for _, f := range files {
		data, err := os.ReadFile(f.name)
		if err != nil {
			return pemFiles{}, &Error{Kind: KindUnreadable, File: f.name, Cause: err}
		}
		*f.into = data
	}
	return c, nil
}

func parse(o Options, c pemFiles) (parsedFiles, error) {
	cert, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return parsedFiles{}, &Error{Kind: KindBadKeyPair, File: o.CertFile, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(c.ca) {
		return parsedFiles{}, &Error{Kind: KindBadCA, File: o.CAFile}
	}
	return parsedFiles{cert: cert, roots: roots}, nil
}
