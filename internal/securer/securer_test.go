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

func assertNoError(t *testing.T, err error, what string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got %v, want no error", what, err)
	}
}

// authority signs certificates for the tests.
type authority struct {
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

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	assertNoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), "write "+path)
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	a := authority{key: newKey(t), path: filepath.Join(t.TempDir(), "authority.pem")}
	a.certificate = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &a.key.PublicKey, a.key)
	assertNoError(t, err, "sign the authority")
	writePEM(t, a.path, "CERTIFICATE", der)
	return a
}

// issue writes the files of a certificate for the loopback address.
func (a authority) issue(t *testing.T, directory string, serial int64) (string, string) {
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

func newSecurer(t *testing.T, a authority, trusted authority) *Securer {
	t.Helper()
	certificatePath, keyPath := a.issue(t, t.TempDir(), 2)
	s, err := New(certificatePath, keyPath, trusted.path)
	assertNoError(t, err, "make a securer")
	return s
}

// dial connects two ends and returns the client's error.
func dial(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assertNoError(t, err, "listen")
	defer listener.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err == nil {
			_, err = c.Write([]byte("x"))
			c.Close()
		}
		ended <- err
	}()
	c, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		_, err = io.ReadFull(c, make([]byte, 1))
		c.Close()
	}
	<-ended
	return err
}

func TestPeers(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	server := newSecurer(t, a, a)
	t.Run("two hosts of one authority", func(t *testing.T) {
		assertNoError(t, dial(t, server.Peers(), newSecurer(t, a, a).Peers()), "dial")
	})
	t.Run("a host of another authority is refused", func(t *testing.T) {
		if err := dial(t, server.Peers(), newSecurer(t, other, a).Peers()); err == nil {
			t.Error("got a connection, want an error")
		}
	})
	t.Run("a caller without a certificate is refused as a host", func(t *testing.T) {
		if err := dial(t, server.Peers(), &tls.Config{RootCAs: server.authorities}); err == nil {
			t.Error("got a connection, want an error")
		}
	})
	t.Run("a caller without a certificate is served as a caller", func(t *testing.T) {
		assertNoError(t, dial(t, server.Callers(), &tls.Config{RootCAs: server.authorities}), "dial")
	})
}

func TestReload(t *testing.T) {
	a := newAuthority(t)
	directory := t.TempDir()
	certificatePath, keyPath := a.issue(t, directory, 2)
	s, err := New(certificatePath, keyPath, a.path)
	assertNoError(t, err, "make a securer")
	first := s.current()
	a.issue(t, directory, 3)
	later := time.Now().Add(time.Minute)
	assertNoError(t, os.Chtimes(certificatePath, later, later), "set the time of the file")
	s.checked = time.Time{}
	second := s.current()
	if got, want := second.Leaf.SerialNumber.Int64(), int64(3); got != want || first.Leaf.SerialNumber.Int64() != 2 {
		t.Errorf("got serial number %d, want %d", got, want)
	}
	t.Run("broken files leave the certificate in use", func(t *testing.T) {
		assertNoError(t, os.WriteFile(certificatePath, []byte("half"), 0o600), "break the file")
		s.checked = time.Time{}
		if got := s.current(); got != second {
			t.Error("got another certificate, want the one in use")
		}
	})
}

func TestAuthority(t *testing.T) {
	a := newAuthority(t)
	certificatePath, keyPath := a.issue(t, t.TempDir(), 2)
	_, err := New(certificatePath, keyPath, keyPath)
	var authorityError *AuthorityError
	if !errors.As(err, &authorityError) {
		t.Errorf("got %v, want an AuthorityError", err)
	}
}
