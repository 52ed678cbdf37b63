package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const testKey = "sk-fuzz"

// fixedConfiguration always provides the same configuration.
type fixedConfiguration struct{ configuration fuchsiapitch.Configuration }

// Configuration implements ConfigurationProvider.
func (c fixedConfiguration) Configuration() fuchsiapitch.Configuration { return c.configuration }

// newTestReceiver returns a receiver with a model service m, an application service
// a and a customer c, and without a forwarder.
func newTestReceiver() *Receiver {
	hash := sha256.Sum256([]byte(testKey))
	return New(fixedConfiguration{fuchsiapitch.NewConfiguration(1, 1,
		[]fuchsiapitch.Service{
			fuchsiapitch.NewService("m", fuchsiapitch.ModelService, "chat"),
			fuchsiapitch.NewService("a", fuchsiapitch.ApplicationService, "chat",
				fuchsiapitch.WithRoutes(fuchsiapitch.NewRoute("GET", "/lookups", true))),
		},
		[]fuchsiapitch.Customer{fuchsiapitch.NewCustomer("c", fuchsiapitch.WithKeyHashes(hex.EncodeToString(hash[:])))},
		nil,
	)}, nil)
}

// assertRequestError checks that an error is a RequestError for a client error:
// it has a status of 4xx and a code.
func assertRequestError(t *testing.T, err error) {
	t.Helper()
	var requestError *RequestError
	if !errors.As(err, &requestError) || requestError.Status < 400 || requestError.Status >= 500 || requestError.Code == "" {
		t.Fatalf("got %v, want a RequestError with a status of 4xx and a code", err)
	}
}

// FuzzModelRequest checks that any body and header is either refused as a client
// error or gives a request of the customer that is fit to schedule, with the body
// unchanged.
func FuzzModelRequest(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}],"max_tokens":5}`,
		`{"model":"m:adapter","prompt":["a","b"]}`, `{"model":"m","input":"x"}`, `{"model":7}`, `{"model":"m","max_tokens":-1}`,
		`{"model":"m","max_tokens":1e30}`, `{"model":"absent"}`, `[]`, `null`, `{`, "", "{\"model\":\"m\"}\x00",
	} {
		f.Add([]byte(body), "", "", "/v1/chat/completions")
	}
	f.Add([]byte(`{"model":"m"}`), "kiln", "-1", "/v1/embeddings")
	f.Add([]byte(`{"model":"m"}`), "chat", "99999999999999999999", "/v1/completions")
	f.Add([]byte(`{"model":"m"}`), "chat", "9227000000000", "/v1/completions")
	r := newTestReceiver()
	f.Fuzz(func(t *testing.T, body []byte, rank, timeout, path string) {
		q := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/completions", strings.NewReader(string(body)))
		q.URL.Path = path
		q.Header = http.Header{"Authorization": {"Bearer " + testKey}, headerRank: {rank}, headerTimeout: {timeout}}
		request, call, err := r.readModelRequest(httptest.NewRecorder(), q, &heldBody{limiter: &r.bodyLimiter}, "req-1")
		if err != nil {
			assertRequestError(t, err)
			return
		}
		if request.Service() != "m" || request.Customer() != "c" || request.Rank() != "chat" {
			t.Fatalf("got service %q, customer %q, rank %q, want m, c, chat", request.Service(), request.Customer(), request.Rank())
		}
		if request.EstimatedTokens() <= 0 || request.TimeLimit() <= 0 {
			t.Fatalf("got cost %v and time limit %v, want both above 0", request.EstimatedTokens(), request.TimeLimit())
		}
		if string(call.Body()) != string(body) {
			t.Fatalf("body: got %q, want %q", call.Body(), body)
		}
	})
}

// FuzzApplicationRequest checks that any method, URL, host name and key is either
// refused as a client error or gives a call with an absolute path that is
// idempotent exactly when its route is.
func FuzzApplicationRequest(f *testing.F) {
	for _, target := range []string{"/services/a/bookings", "/services/a", "/services/a?x=1", "/services//", "/services/absent/x", "/services/a/../b", "/lookups/x"} {
		f.Add(http.MethodPost, target, "127.0.0.1", "key", []byte(`{"reference":"b"}`))
	}
	f.Add(http.MethodGet, "/lookups/x?y=%zz", "a.example", "", []byte{})
	f.Add(http.MethodGet, "/services/a/lookupsother", "a", "", []byte{})
	r := newTestReceiver()
	f.Fuzz(func(t *testing.T, method, target, host, key string, body []byte) {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		q := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(string(body)))
		q.Method, q.URL, q.Host = method, u, host
		q.Header = http.Header{"Authorization": {"Bearer " + testKey}, headerIdempotencyKey: {key}}
		request, call, err := r.readApplicationRequest(httptest.NewRecorder(), q, &heldBody{limiter: &r.bodyLimiter}, "req-1")
		if err != nil {
			assertRequestError(t, err)
			return
		}
		if !strings.HasPrefix(call.Path(), "/") {
			t.Fatalf("path: got %q, want a path that begins with /", call.Path())
		}
		isLookup := method == http.MethodGet && hasPathPrefix(call.Path(), "/lookups")
		if request.Idempotent() != isLookup || call.Idempotent() != isLookup {
			t.Fatalf("idempotent: got %v and %v, want %v", request.Idempotent(), call.Idempotent(), isLookup)
		}
	})
}
