package commander

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// writeTestCertificate writes a certificate of the loopback address, and returns the part of the
// settings that names it.
func writeTestCertificate(t *testing.T) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "host"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	certificatePath, keyPath := filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem")
	for path, block := range map[string]*pem.Block{certificatePath: {Type: "CERTIFICATE", Bytes: certificate}, keyPath: {Type: "PRIVATE KEY", Bytes: keyBytes}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return fmt.Sprintf("tls: {certificate-file: %s, key-file: %s, peer-ca-file: %s}\n", certificatePath, keyPath, certificatePath)
}

// multiplexedRequest is a request on a connection with HTTP/2.
type multiplexedRequest struct {
	method, path string
	// fillingBytes is the size of a header field without a meaning.
	fillingBytes int
	// bodyBytes is the part of the body that is sent with the header. endsBody is true if nothing
	// follows.
	bodyBytes int
	endsBody  bool
}

// multiplexedStart returns what a client sends to open a connection with HTTP/2, and streams with one
// request each. windowBytes is what it lets the host send on a stream.
func multiplexedStart(windowBytes uint32, streams int, r multiplexedRequest) string {
	const maxFrameBytes = 16 << 10
	var out bytes.Buffer
	out.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&out, nil)
	framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: windowBytes})
	for n := range streams {
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		encoder.SetMaxDynamicTableSize(0)
		for _, f := range []hpack.HeaderField{
			{Name: ":method", Value: r.method},
			{Name: ":scheme", Value: "https"},
			{Name: ":authority", Value: "x"},
			{Name: ":path", Value: r.path},
			{Name: "authorization", Value: "Bearer " + demoAPIKey},
			{Name: "idempotency-key", Value: "multiplexed"},
			{Name: "x-filling", Value: strings.Repeat("~", r.fillingBytes)},
		} {
			encoder.WriteField(f)
		}
		id, first := uint32(2*n+1), block.Next(maxFrameBytes)
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: first, EndStream: r.endsBody, EndHeaders: block.Len() == 0})
		for block.Len() > 0 {
			part := block.Next(maxFrameBytes)
			framer.WriteContinuation(id, block.Len() == 0, part)
		}
		if r.bodyBytes > 0 {
			framer.WriteData(id, false, bytes.Repeat([]byte("x"), r.bodyBytes))
		}
	}
	return out.String()
}

// dataFrames returns a piece of a body on each of a number of streams.
func dataFrames(streams, bytesPerStream int) []byte {
	var out bytes.Buffer
	framer := http2.NewFramer(&out, nil)
	for n := range streams {
		framer.WriteData(uint32(2*n+1), false, bytes.Repeat([]byte("x"), bytesPerStream))
	}
	return out.Bytes()
}

// multiplexedOccupations returns the occupations by connections with HTTP/2, by name.
func multiplexedOccupations() map[string]occupation {
	const windowBytes, manyStreams = 64 << 10, 100
	tlsConfig := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}}
	bookings := "/services/" + string(demoApplicationService) + "/bookings"
	start := func(window uint32, streams int, r multiplexedRequest) func(int) string {
		text := multiplexedStart(window, streams, r)
		return func(int) string { return text }
	}
	body := multiplexedRequest{method: "POST", path: bookings}
	return map[string]occupation{
		"Silence":       {tlsConfig: tlsConfig, start: start(windowBytes, 0, body)},
		"Idleness":      {tlsConfig: tlsConfig, start: start(windowBytes, 1, multiplexedRequest{method: "GET", path: "/absent/x", endsBody: true})},
		"UnreadAnswers": {tlsConfig: tlsConfig, start: start(0, 1, multiplexedRequest{method: "GET", path: "/absent/x", endsBody: true})},
		"UnknownRoutes": {tlsConfig: tlsConfig, start: start(windowBytes, 1, multiplexedRequest{method: "POST", path: "/absent/x", bodyBytes: 1})},
		"SlowBodies":    {tlsConfig: tlsConfig, start: start(windowBytes, 1, body), piece: dataFrames(1, trickleBytes), pause: tricklePause},
		"ManyStreams":   {tlsConfig: tlsConfig, start: start(windowBytes, manyStreams, multiplexedRequest{method: "POST", path: bookings, bodyBytes: 8 << 10})},
		"LargeHeaders":  {tlsConfig: tlsConfig, start: start(windowBytes, manyStreams, multiplexedRequest{method: "POST", path: bookings, fillingBytes: 40 << 10})},
	}
}

func assertServesBesideMultiplexed(t *testing.T, name string) {
	t.Helper()
	const runtimeMiB, descriptors = 96, 160
	h := startLimitedOwnTarget(t, runtimeMiB, descriptors, writeTestCertificate(t))
	assertServesBeside(t, h, multiplexedOccupations()[name], occupants)
}

func TestOwnServesBesideMultiplexedSilence(t *testing.T) { assertServesBesideMultiplexed(t, "Silence") }

func TestOwnServesBesideMultiplexedIdleness(t *testing.T) {
	assertServesBesideMultiplexed(t, "Idleness")
}

func TestOwnServesBesideMultiplexedUnreadAnswers(t *testing.T) {
	assertServesBesideMultiplexed(t, "UnreadAnswers")
}

func TestOwnServesBesideMultiplexedUnknownRoutes(t *testing.T) {
	assertServesBesideMultiplexed(t, "UnknownRoutes")
}

func TestOwnServesBesideMultiplexedSlowBodies(t *testing.T) {
	assertServesBesideMultiplexed(t, "SlowBodies")
}

func TestOwnServesBesideMultiplexedManyStreams(t *testing.T) {
	assertServesBesideMultiplexed(t, "ManyStreams")
}

func TestOwnServesBesideMultiplexedLargeHeaders(t *testing.T) {
	assertServesBesideMultiplexed(t, "LargeHeaders")
}
