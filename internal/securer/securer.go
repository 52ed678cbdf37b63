// Package securer supplies the transport security of an entry host from
// certificate files, and takes up changed files while connections go on.
package securer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// checkPeriod is the shortest time between two looks at the certificate files.
const checkPeriod = 10 * time.Second

// AuthorityError reports a file without a usable certificate of an authority.
type AuthorityError struct {
	// Path is the path of the file.
	Path string
}

// Error implements error.
func (e *AuthorityError) Error() string {
	return fmt.Sprintf("%s holds no certificate of an authority in PEM form", e.Path)
}

// Securer holds the certificate of an entry host.
type Securer struct {
	certificatePath string
	keyPath         string
	authorities     *x509.CertPool

	mutex       sync.Mutex
	certificate *tls.Certificate
	changed     time.Time
	checked     time.Time
}

// New reads the certificate and key of the host and the authority that signs
// the certificates of the entry hosts, all in PEM form.
func New(certificatePath, keyPath, authorityPath string) (*Securer, error) {
	s := &Securer{certificatePath: certificatePath, keyPath: keyPath, authorities: x509.NewCertPool()}
	pem, err := os.ReadFile(authorityPath)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !s.authorities.AppendCertsFromPEM(pem) {
		return nil, trace.Wrap(&AuthorityError{Path: authorityPath})
	}
	if err := s.load(); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

func (s *Securer) load() error {
	info, err := os.Stat(s.certificatePath)
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(s.certificatePath, s.keyPath)
	if err != nil {
		return err
	}
	s.certificate, s.changed = &certificate, info.ModTime()
	return nil
}

// current returns the certificate, read again when its file has changed. While
// the new files cannot be read, the old certificate stays in use.
func (s *Securer) current() *tls.Certificate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.checked) < checkPeriod {
		return s.certificate
	}
	s.checked = time.Now()
	if info, err := os.Stat(s.certificatePath); err == nil && !info.ModTime().Equal(s.changed) {
		// A half-written pair fails to load and is tried again at the next check.
		_ = s.load()
	}
	return s.certificate
}

// Callers returns the configuration towards callers and operators.
func (s *Securer) Callers() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current(), nil },
	}
}

// Peers returns the configuration between entry hosts, for both ends. Each end
// proves itself by a certificate of the authority.
func (s *Securer) Peers() *tls.Config {
	c := s.Callers()
	c.MinVersion = tls.VersionTLS13
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.current(), nil }
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs = s.authorities
	c.RootCAs = s.authorities
	return c
}
