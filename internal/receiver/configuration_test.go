package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// changingConfiguration provides a configuration that a test replaces.
type changingConfiguration struct{ configuration fuchsiapitch.Configuration }

// Configuration implements ConfigurationProvider.
func (c *changingConfiguration) Configuration() fuchsiapitch.Configuration { return c.configuration }

// callingReader calls a function before the first read.
type callingReader struct {
	io.Reader
	call func()
}

// Read implements io.Reader.
func (c *callingReader) Read(b []byte) (int, error) {
	if c.call != nil {
		c.call()
		c.call = nil
	}
	return c.Reader.Read(b)
}

// Guards against a request that is handled by two configurations: its key was checked by
// one, and it was refused with 404 because the next, which came while its body was read, no
// longer has its service.
func TestRequestKeepsItsConfiguration(t *testing.T) {
	hash := sha256.Sum256([]byte(testKey))
	customers := []fuchsiapitch.Customer{fuchsiapitch.NewCustomer("c", fuchsiapitch.WithKeyHashes(hex.EncodeToString(hash[:])))}
	provider := &changingConfiguration{fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{fuchsiapitch.NewService("m", fuchsiapitch.ModelService, "chat")}, customers, nil)}
	body := &callingReader{Reader: strings.NewReader(`{"model":"m"}`), call: func() {
		provider.configuration = fuchsiapitch.NewConfiguration(2, 2, nil, customers, nil)
	}}
	q := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/completions", body)
	q.Header.Set("Authorization", "Bearer "+testKey)
	r := New(provider, nil)
	request, _, err := r.readModelRequest(httptest.NewRecorder(), q, &heldBody{limiter: &r.bodyLimiter}, "req-1")
	if err != nil {
		t.Fatalf("got %v, want a request for the service", err)
	}
	if got, want := request.Service(), fuchsiapitch.ServiceName("m"); got != want {
		t.Errorf("got service %q, want %q", got, want)
	}
}
