package platformassembler

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// confinedConfiguration returns a configuration in which all routes are confined to a region.
func confinedConfiguration(t *testing.T, version int, region string) []byte {
	t.Helper()
	var document map[string]any
	if err := json.Unmarshal(standin.Configuration(version), &document); err != nil {
		t.Fatal(err)
	}
	for _, route := range document["routes"].([]any) {
		route.(map[string]any)["allowed_regions"] = []string{region}
	}
	data, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// All servers are in region r1. Requests that are confined to it are served, those that are
// confined to another one are refused at once, and no server runs them.
func TestRequestsOutsideTheirHomeAreRefused(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1)
	c.Store.PublishConfiguration(confinedConfiguration(t, 2, "r1"))
	c.awaitVersion(t, 2)
	c.assertStream(t, 0)
	c.Store.PublishConfiguration(confinedConfiguration(t, 3, "r2"))
	c.awaitVersion(t, 3)
	for _, path := range []string{standin.StreamPathPrefix, standin.BookPathPrefix, standin.LookPathPrefix} {
		sentAt := time.Now()
		response, _ := c.sendRequest(t, 0, http.MethodPost, path+"x", "prompt")
		response.Body.Close()
		if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
			t.Errorf("got status %d on %s, want %d", got, path, want)
		}
		if retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err != nil || retryAfter <= 0 {
			t.Errorf("got Retry-After %q on %s, want a time", response.Header.Get("Retry-After"), path)
		}
		if got, limit := time.Since(sentAt), time.Second; got > limit {
			t.Errorf("got the refusal on %s after %v, want it at once", path, got)
		}
	}
}
