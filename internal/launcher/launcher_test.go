package launcher

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
)

const testAPIKey = "sk-test"

// testDocuments contain the SHA-256 hash of testAPIKey.
const testDocuments = `
{kind: rank, name: chat, order: 0, first-token: 480ms, inter-token: 44ms, worth: 1}
---
{kind: customer, name: glass, key-hashes: [f3abf2a6cc4f00987743db5f544ba345b4899ae31f326d8ee9c4816de153c9e0]}
---
{kind: model-service, name: vidrio-llm, rank: chat, model: vidrio, version: "1", replicas: 3, group-size: 1}
---
{kind: application-service, name: taller-app, rank: chat, routes: [{method: GET, prefix: /lookups, idempotent: true}]}
`

func assertNoError(t *testing.T, err error, what string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got %v, want no error", what, err)
	}
}

// startCluster starts three entry hosts, three engines in groups of one and two
// application servers, and publishes testDocuments through the log.
func startCluster(t *testing.T, options ...Option) (*Cluster, *standin.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	fleet, stopFleet, err := standin.Start(standin.WithEngines(1, 3), standin.WithApplications("taller-app", 2))
	assertNoError(t, err, "start the stand-ins")
	t.Cleanup(stopFleet)
	cluster, stop, err := Start(fleet, []fuchsiapitch.DataCentreName{"dc-a"}, append(options, WithHostsPerDataCentre(3))...)
	assertNoError(t, err, "start the entry hosts")
	t.Cleanup(stop)
	documents, err := loader.DecodeDocuments("test", []byte(testDocuments))
	assertNoError(t, err, "decode the documents")
	log, closeLog := recorder.New(fleet.LogAddress("dc-a"))
	t.Cleanup(closeLog)
	result, err := publisher.New(log, "test").Publish(ctx, documents)
	if err != nil || result.Status != publisher.Accepted {
		t.Fatalf("publish: got %v, %v, want accepted", result.Status, err)
	}
	assertNoError(t, cluster.AwaitReplicas(ctx, "vidrio-llm", 3), "wait for the groups")
	assertNoError(t, cluster.AwaitReplicas(ctx, "taller-app", 2), "wait for the application servers")
	return cluster, fleet
}

func send(t *testing.T, method, url, key, body string, header ...string) (int, http.Header, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assertNoError(t, err, "create the request")
	request.Header.Set("Authorization", "Bearer "+key)
	for n := 0; n+1 < len(header); n += 2 {
		request.Header.Set(header[n], header[n+1])
	}
	response, err := http.DefaultClient.Do(request)
	assertNoError(t, err, "send the request")
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assertNoError(t, err, "read the response body")
	return response.StatusCode, response.Header, string(content)
}

func assertStatus(t *testing.T, got, want int, body string) {
	t.Helper()
	if got != want {
		t.Errorf("got status %d, want %d: %s", got, want, body)
	}
}

func TestRequestPath(t *testing.T) {
	cluster, fleet := startCluster(t)
	t.Run("a chat stream is complete through every entry host", func(t *testing.T) {
		for _, h := range cluster.Hosts() {
			for range 4 {
				status, header, body := send(t, "POST", h.URL()+"/v1/chat/completions", testAPIKey,
					`{"model":"vidrio-llm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hi"}]}`)
				assertStatus(t, status, http.StatusOK, body)
				if got := strings.Count(body, "\nid: ") + 1; got != 8 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
					t.Errorf("got %d tokens in %q, want 8 tokens and the final [DONE]", got, body)
				}
				if header.Get("X-Request-Id") == "" {
					t.Error("got no X-Request-Id header")
				}
			}
		}
	})
	t.Run("a plain completion succeeds", func(t *testing.T) {
		status, header, body := send(t, "POST", cluster.Hosts()[1].URL()+"/v1/completions", testAPIKey,
			`{"model":"vidrio-llm","max_tokens":4,"prompt":"hi"}`)
		assertStatus(t, status, http.StatusOK, body)
		if got := header.Get("X-Request-Outcome"); got != "succeeded" {
			t.Errorf("got outcome %q, want succeeded", got)
		}
	})
	t.Run("a booking runs once", func(t *testing.T) {
		status, _, body := send(t, "POST", cluster.Hosts()[2].URL()+"/services/taller-app/bookings", testAPIKey,
			`{"reference":"b-1"}`, "Content-Type", "application/json")
		assertStatus(t, status, http.StatusCreated, body)
		if got := fleet.Ledger().RunCount("b-1"); got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	})
	t.Run("invalid requests are refused as not run", func(t *testing.T) {
		base := cluster.Hosts()[0].URL()
		for _, c := range []struct {
			path, key, body string
			want            int
		}{
			{"/v1/chat/completions", "sk-other", `{"model":"vidrio-llm"}`, http.StatusUnauthorized},
			{"/v1/chat/completions", testAPIKey, `{"model":"absent"}`, http.StatusNotFound},
			{"/v1/chat/completions", testAPIKey, `{"model":`, http.StatusBadRequest},
			{"/v1/chat/completions", testAPIKey, `{"model":"` + strings.Repeat("x", 9<<20) + `"}`, http.StatusRequestEntityTooLarge},
			{"/services/absent/x", testAPIKey, ``, http.StatusNotFound},
		} {
			status, header, body := send(t, "POST", base+c.path, c.key, c.body)
			assertStatus(t, status, c.want, body)
			if got := header.Get("X-Request-Outcome"); got != "not-run" {
				t.Errorf("got outcome %q, want not-run", got)
			}
		}
	})
	if got := cluster.Violations(); got != 0 {
		t.Errorf("got %d invariant violations, want 0", got)
	}
}
