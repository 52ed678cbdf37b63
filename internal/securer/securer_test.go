package securer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func assertNoError(t *testing.T, err error, action string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got %v, want no error", action, err)
	}
}

// testCA signs certificates for the tests.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	path        string
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assertNoError(t, err, "generate a key")
	return key
}

func writePEM(t *testing.T, path, blockType string, der []byte) {
	t.Helper()
	assertNoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600), "write "+path)
}

func newTestCA(t *testing.T) testCA {
	t.Helper()
	a := testCA{key: newKey(t), path: filepath.Join(t.TempDir(), "authority.pem")}
	a.certificate = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &a.key.PublicKey, a.key)
	assertNoError(t, err, "sign the CA certificate")
	writePEM(t, a.path, "CERTIFICATE", der)
	return a
}

// issue writes a certificate for the loopback address and its key to a directory, and
// returns the paths of both files.
func (a testCA) issue(t *testing.T, directory string, serial int64) (string, string) {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "host"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assertNoError(t, err, "sign a certificate")
	certificatePath, keyPath := filepath.Join(directory, "host.pem"), filepath.Join(directory, "host.key")
	writePEM(t, certificatePath, "CERTIFICATE", der)
	der, err = x509.MarshalPKCS8PrivateKey(key)
	assertNoError(t, err, "encode a key")
	writePEM(t, keyPath, "PRIVATE KEY", der)
	return certificatePath, keyPath
}

// newSecurer returns a securer with a certificate of the issuer that trusts the
// certificates of the trusted CA.
func newSecurer(t *testing.T, issuer testCA, trusted testCA) *Securer {
	t.Helper()
	certificatePath, keyPath := issuer.issue(t, t.TempDir(), 2)
	s, err := New(certificatePath, keyPath, trusted.path)
	assertNoError(t, err, "create a securer")
	return s
}

// handshake connects a client to a server, transfers one byte, and returns the error of
// the client.
func handshake(t *testing.T, serverConfig, clientConfig *tls.Config) error {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", serverConfig)
	assertNoError(t, err, "listen")
	defer listener.Close()
	serverDone := make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err == nil {
			_, err = c.Write([]byte("x"))
			c.Close()
		}
		serverDone <- err
	}()
	c, err := tls.Dial("tcp", listener.Addr().String(), clientConfig)
	if err == nil {
		_, err = io.ReadFull(c, make([]byte, 1))
		c.Close()
	}
	<-serverDone
	return err
}

// Only entry hosts with a certificate of the CA can connect as peers. Clients need no
// certificate.
func TestPeers(t *testing.T) {
	trustedCA, untrustedCA := newTestCA(t), newTestCA(t)
	server := newSecurer(t, trustedCA, trustedCA)
	t.Run("hosts of the same CA connect", func(t *testing.T) {
		assertNoError(t, handshake(t, server.PeerTLSConfig(), newSecurer(t, trustedCA, trustedCA).PeerTLSConfig()), "dial")
	})
	t.Run("a host of another CA is refused", func(t *testing.T) {
		if err := handshake(t, server.PeerTLSConfig(), newSecurer(t, untrustedCA, trustedCA).PeerTLSConfig()); err == nil {
			t.Error("got a connection, want an error")
		}
	})
	t.Run("a client without a certificate is refused as a peer", func(t *testing.T) {
		if err := handshake(t, server.PeerTLSConfig(), &tls.Config{RootCAs: server.caPool}); err == nil {
			t.Error("got a connection, want an error")
		}
	})
	t.Run("a client without a certificate is accepted as a client", func(t *testing.T) {
		assertNoError(t, handshake(t, server.ServerTLSConfig(), &tls.Config{RootCAs: server.caPool}), "dial")
	})
}

// A changed certificate file is loaded. An invalid one leaves the last certificate in
// use.
func TestReload(t *testing.T) {
	ca := newTestCA(t)
	directory := t.TempDir()
	certificatePath, keyPath := ca.issue(t, directory, 2)
	s, err := New(certificatePath, keyPath, ca.path)
	assertNoError(t, err, "create a securer")
	first := s.currentCertificate()
	ca.issue(t, directory, 3)
	newModTime := time.Now().Add(time.Minute)
	assertNoError(t, os.Chtimes(certificatePath, newModTime, newModTime), "set the modification time")
	s.lastReloadCheck = time.Time{}
	second := s.currentCertificate()
	if got, want := second.Leaf.SerialNumber.Int64(), int64(3); got != want || first.Leaf.SerialNumber.Int64() != 2 {
		t.Errorf("got serial number %d, want %d", got, want)
	}
	t.Run("broken files leave the certificate in use", func(t *testing.T) {
		assertNoError(t, os.WriteFile(certificatePath, []byte("half"), 0o600), "write an invalid certificate file")
		s.lastReloadCheck = time.Time{}
		if got := s.currentCertificate(); got != second {
			t.Error("got a different certificate, want the one in use")
		}
	})
}

// A CA file without a certificate is rejected.
func TestCAFileWithoutCertificate(t *testing.T) {
	ca := newTestCA(t)
	certificatePath, keyPath := ca.issue(t, t.TempDir(), 2)
	_, err := New(certificatePath, keyPath, keyPath)
	var caFileError *InvalidCAFileError
	if !errors.As(err, &caFileError) {
		t.Errorf("got %v, want an InvalidCAFileError", err)
	}
}
