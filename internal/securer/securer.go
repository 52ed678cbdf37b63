// Package securer provides the TLS configurations of an entry host from certificate
// files. It reloads a changed certificate and its key for new connections; open
// connections are not affected. The CA file is read only once.
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

// reloadCheckInterval is the minimum time between two checks for a changed certificate
// file.
const reloadCheckInterval = 10 * time.Second

// InvalidCAFileError reports a file without a usable CA certificate.
type InvalidCAFileError struct {
	// Path is the path of the file.
	Path string
}

// Error implements error.
func (e *InvalidCAFileError) Error() string {
	return fmt.Sprintf("%s contains no PEM-encoded CA certificate", e.Path)
}

// Securer holds the certificate of an entry host and the CA of the entry hosts.
type Securer struct {
	certificatePath string
	keyPath         string
	caPool          *x509.CertPool

	mutex              sync.Mutex
	certificate        *tls.Certificate
	certificateModTime time.Time
	lastReloadCheck    time.Time
}

// New reads the certificate and key of the host, and the certificate of the CA that
// signs the certificates of the entry hosts. All files are PEM-encoded.
func New(certificatePath, keyPath, caPath string) (*Securer, error) {
	s := &Securer{certificatePath: certificatePath, keyPath: keyPath, caPool: x509.NewCertPool()}
	caPEM, err := os.ReadFile(caPath)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !s.caPool.AppendCertsFromPEM(caPEM) {
		return nil, trace.Wrap(&InvalidCAFileError{Path: caPath})
	}
	if err := s.loadCertificate(); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

func (s *Securer) loadCertificate() error {
	info, err := os.Stat(s.certificatePath)
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(s.certificatePath, s.keyPath)
	if err != nil {
		return err
	}
	s.certificate, s.certificateModTime = &certificate, info.ModTime()
	return nil
}

// currentCertificate returns the certificate and first reloads it if its file has
// changed. While the new files cannot be loaded, the old certificate stays in use.
func (s *Securer) currentCertificate() *tls.Certificate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.lastReloadCheck) < reloadCheckInterval {
		return s.certificate
	}
	s.lastReloadCheck = time.Now()
	if info, err := os.Stat(s.certificatePath); err == nil && !info.ModTime().Equal(s.certificateModTime) {
		// A partly written certificate and key pair fails to load, and is tried again at
		// the next check.
		_ = s.loadCertificate()
	}
	return s.certificate
}

// ServerTLSConfig returns the configuration of the listeners for clients and operators.
// It does not ask for client certificates.
func (s *Securer) ServerTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.currentCertificate(), nil },
	}
}

// PeerTLSConfig returns the configuration of connections between entry hosts, for both
// ends. Each end authenticates itself with a certificate signed by the CA.
func (s *Securer) PeerTLSConfig() *tls.Config {
	config := s.ServerTLSConfig()
	config.MinVersion = tls.VersionTLS13
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.currentCertificate(), nil }
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = s.caPool
	config.RootCAs = s.caPool
	return config
}
