package receiver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func startReceiver(t *testing.T, options ...Option) string {
	t.Helper()
	r := newFuzzReceiver()
	for _, o := range options {
		o(r)
	}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return server.URL
}

func assertAnswer(t *testing.T, url string, body io.Reader, want int) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+fuzzKey)
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatalf("got %v, want status %d", err, want)
	}
	defer answer.Body.Close()
	if answer.StatusCode != want || answer.Header.Get(headerOutcome) != "not-run" {
		t.Errorf("got status %d, outcome %q, want %d, not-run", answer.StatusCode, answer.Header.Get(headerOutcome), want)
	}
}

func TestBodies(t *testing.T) {
	t.Run("a body that never ends is given up", func(t *testing.T) {
		slow, writer := io.Pipe()
		defer writer.Close()
		assertAnswer(t, startReceiver(t, WithBodyTime(20*time.Millisecond)), slow, http.StatusRequestTimeout)
	})
	t.Run("bodies beyond the bound of the host are refused unread", func(t *testing.T) {
		url := startReceiver(t, WithHeldLimit(64))
		assertAnswer(t, url, strings.NewReader(strings.Repeat("x", 65)), http.StatusServiceUnavailable)
		assertAnswer(t, url, strings.NewReader("{}"), http.StatusNotFound)
	})
	t.Run("room is given back", func(t *testing.T) {
		url := startReceiver(t, WithHeldLimit(64))
		for range 5 {
			assertAnswer(t, url, strings.NewReader(strings.Repeat("x", 40)), http.StatusBadRequest)
		}
	})
}
