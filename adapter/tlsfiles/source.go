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

// DefaultInterval is how often the files are looked at again.
const DefaultInterval = 10 * time.Second

// Options names the files. All three must be given: peers prove themselves to
// each other with certificates of the one CA.
type Options struct {
	CertFile string
	KeyFile  string
	CAFile   string
	// Interval is the least time between two looks at the files;
	// DefaultInterval when 0.
	Interval time.Duration
	// Clock is the machine's clock when nil.
	Clock port.Clock
}

// Source holds the settings read last. It is safe for concurrent use.
type Source struct {
	o Options

	mu          sync.Mutex
	lastChecked time.Time
	pem         pemFiles
	current     parsedFiles
	stats       Stats
}

// Stats counts what a Source did.
type Stats struct {
	// Reloads counts changed files taken up.
	Reloads uint64
	// Failures counts looks that left the previous settings in force.
	Failures uint64
}

// pemFiles is the files' bytes.
type pemFiles struct {
	cert, key, ca []byte
}

func (c pemFiles) equal(o pemFiles) bool {
	return bytes.Equal(c.cert, o.cert) && bytes.Equal(c.key, o.key) && bytes.Equal(c.ca, o.ca)
}

// parsedFiles is the parsed files.
type parsedFiles struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// New reads the files. An error is a *Error.
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

// Stats returns the counters.
func (s *Source) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// latest returns the settings in force, after a look at the files when the
// last one is older than the interval.
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

// reload takes up changed files. Certificate and key are replaced one after
// the other by most tools; a look between the two finds a pair that does not
// match and must not be taken up, or every handshake until the next look
// would fail.
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
