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

const fuzzKey = "sk-fuzz"

type fixedConfiguration struct{ value fuchsiapitch.Configuration }

// Configuration implements Configurations.
func (c fixedConfiguration) Configuration() fuchsiapitch.Configuration { return c.value }

func newFuzzReceiver() *Receiver {
	hash := sha256.Sum256([]byte(fuzzKey))
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

// assertRefusal checks that a request without an answer is refused as the
// caller's fault.
func assertRefusal(t *testing.T, err error) {
	t.Helper()
	var refused *RequestError
	if !errors.As(err, &refused) || refused.Status < 400 || refused.Status >= 500 || refused.Code == "" {
		t.Fatalf("got %v, want a RequestError with a status of 4xx and a code", err)
	}
}

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
	r := newFuzzReceiver()
	f.Fuzz(func(t *testing.T, body []byte, rank, timeout, path string) {
		q := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/completions", strings.NewReader(string(body)))
		q.URL.Path = path
		q.Header = http.Header{"Authorization": {"Bearer " + fuzzKey}, headerRank: {rank}, headerTimeout: {timeout}}
		request, call, err := r.readModel(httptest.NewRecorder(), q, "req-1")
		if err != nil {
			assertRefusal(t, err)
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

func FuzzApplicationRequest(f *testing.F) {
	for _, target := range []string{"/services/a/bookings", "/services/a", "/services/a?x=1", "/services//", "/services/absent/x", "/services/a/../b", "/lookups/x"} {
		f.Add(http.MethodPost, target, "127.0.0.1", "key", []byte(`{"reference":"b"}`))
	}
	f.Add(http.MethodGet, "/lookups/x?y=%zz", "a.example", "", []byte{})
	f.Add(http.MethodGet, "/services/a/lookupsother", "a", "", []byte{})
	r := newFuzzReceiver()
	f.Fuzz(func(t *testing.T, method, target, host, key string, body []byte) {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		q := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(string(body)))
		q.Method, q.URL, q.Host = method, u, host
		q.Header = http.Header{"Authorization": {"Bearer " + fuzzKey}, headerIdempotencyKey: {key}}
		request, call, err := r.readApplication(httptest.NewRecorder(), q, "req-1")
		if err != nil {
			assertRefusal(t, err)
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
