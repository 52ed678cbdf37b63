package receiver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// startTestServer serves a receiver over HTTP and returns its base URL.
func startTestServer(t *testing.T, options ...Option) string {
	t.Helper()
	r := newTestReceiver()
	for _, o := range options {
		o(r)
	}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return server.URL
}

// assertNotRun checks that a request is refused with a status and the outcome
// not-run.
func assertNotRun(t *testing.T, url string, body io.Reader, want int) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatalf("got %v, want status %d", err, want)
	}
	defer response.Body.Close()
	if response.StatusCode != want || response.Header.Get(headerOutcome) != "not-run" {
		t.Errorf("got status %d, outcome %q, want %d, not-run", response.StatusCode, response.Header.Get(headerOutcome), want)
	}
}

// TestBodies guards against clients that exhaust the memory or the connections of
// a host with large or slow request bodies.
func TestBodies(t *testing.T) {
	t.Run("a body that never ends times out", func(t *testing.T) {
		slow, writer := io.Pipe()
		defer writer.Close()
		assertNotRun(t, startTestServer(t, WithBodyTimeout(20*time.Millisecond)), slow, http.StatusRequestTimeout)
	})
	t.Run("bodies beyond the bound of the host are refused unread", func(t *testing.T) {
		url := startTestServer(t, WithMaxReservedBytes(64))
		assertNotRun(t, url, strings.NewReader(strings.Repeat("x", 65)), http.StatusServiceUnavailable)
		assertNotRun(t, url, strings.NewReader("{}"), http.StatusNotFound)
	})
	t.Run("reserved bytes are released", func(t *testing.T) {
		url := startTestServer(t, WithMaxReservedBytes(64))
		for range 5 {
			assertNotRun(t, url, strings.NewReader(strings.Repeat("x", 40)), http.StatusBadRequest)
		}
	})
}
