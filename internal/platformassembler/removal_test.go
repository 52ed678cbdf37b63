package platformassembler

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// removal is a change by which a newer configuration no longer allows what an older one did.
type removal struct {
	name string
	edit func(document map[string]any)
}

// removals remove or lower what requests of all kinds need.
var removals = []removal{
	{"routes", func(document map[string]any) {
		for _, r := range document["routes"].([]any) {
			r.(map[string]any)["path_prefix"] = "/moved" + r.(map[string]any)["path_prefix"].(string)
		}
	}},
	{"services", func(document map[string]any) {
		document["routes"] = []any{}
		document["services"] = []any{map[string]any{"name": "other", "max_conns": 100}}
	}},
	{"key", func(document map[string]any) {
		document["tenants"].([]any)[0].(map[string]any)["api_keys"] = []string{"key-other"}
	}},
	{"time-outs", editRoutes("timeout_ms", 50)},
	{"attempts", editRoutes("max_attempts", 1)},
	{"resumption", editRoutes("resumable", false)},
	{"models", func(document map[string]any) {
		engine := document["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
		engine["models"] = slices.DeleteFunc(engine["models"].([]any), func(m any) bool { return m.(map[string]any)["name"] == standin.LargeModel })
	}},
}

// editRoutes returns a change of one field of all routes.
func editRoutes(field string, value any) func(document map[string]any) {
	return func(document map[string]any) {
		for _, r := range document["routes"].([]any) {
			r.(map[string]any)[field] = value
		}
	}
}

// Guards against a request in flight that is ended, or answered as if it had come later, because
// a newer configuration removes or lowers what it needs.
func TestRequestsInFlightOutliveRemoval(t *testing.T) {
	for _, change := range removals {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitController(t)
			c.setSlowdown(20)
			const responseDelay = 1500 * time.Millisecond
			for _, id := range []string{"p0", "p1"} {
				c.Fleet.Server(id).Faults().DelayResponses(responseDelay)
			}
			var clients sync.WaitGroup
			defer clients.Wait()
			for _, prefix := range []string{standin.BookPathPrefix, standin.LookPathPrefix} {
				clients.Go(func() {
					response, _ := c.sendRequest(t, 0, http.MethodPost, prefix+"x", "two hours")
					defer response.Body.Close()
					if body, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), "two hours") {
						t.Errorf("%s: got status %d, body %q and error %v, want the server's response", prefix, response.StatusCode, body, err)
					}
				})
			}
			c.await(t, "booking at a server", func() bool { return c.Fleet.Server("p0").Runs()+c.Fleet.Server("p1").Runs() >= 2 })
			got := c.readStream(t, 0, 20*time.Second, func(*standin.Server) { c.publishEdited(t, 2, change.edit) })
			if !got.isComplete() {
				t.Errorf("got %s of a stream, want it complete", got)
			}
		})
	}
}

// Guards against a stream that is ended because its server ends after a newer configuration has
// removed or lowered what it needs to go on elsewhere.
func TestStreamsResumeAfterRemoval(t *testing.T) {
	for _, change := range removals {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitController(t)
			c.setSlowdown(20)
			got := c.readStream(t, 0, 20*time.Second, func(server *standin.Server) {
				c.publishEdited(t, 2, change.edit)
				server.Faults().Kill()
			})
			if !got.isComplete() {
				t.Errorf("got %s, want it complete", got)
			}
		})
	}
}

// Guards against a request that waits for a slot until its time limit, or ends without a
// response, because a newer configuration removes or lowers what it needs.
func TestWaitingRequestsOutliveRemoval(t *testing.T) {
	const limit, waitingClients = 20 * time.Second, 40
	for _, change := range removals {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitController(t)
			c.setSlowdown(20)
			for n := range 2 {
				c.assertStream(t, n)
			}
			var clients sync.WaitGroup
			var answered atomic.Int64
			defer clients.Wait()
			for n := range waitingClients {
				clients.Go(func() {
					defer answered.Add(1)
					start := time.Now()
					response, _ := c.sendRequest(t, n%2, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
					data, err := io.ReadAll(response.Body)
					response.Body.Close()
					isComplete := response.StatusCode == http.StatusOK && strings.Count(string(data), "data: ") == 20
					if err != nil || !isComplete && !slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, response.StatusCode) {
						t.Errorf("got status %d, %d bytes and error %v, want a complete stream or a refusal", response.StatusCode, len(data), err)
					}
					if took := time.Since(start); took > limit*3/4 {
						t.Errorf("got status %d after %s, want it well before the time limit", response.StatusCode, took)
					}
				})
			}
			c.await(t, "requests at the hosts", func() bool {
				return answered.Load()+c.requestsInFlight(t) >= waitingClients
			})
			c.publishEdited(t, 2, change.edit)
		})
	}
}

// requestsInFlight returns the number of requests in flight at the hosts.
func (c *testCluster) requestsInFlight(t *testing.T) int64 {
	t.Helper()
	sum := int64(0)
	for n := range c.clientAddresses {
		for line := range strings.Lines(c.fetchMetrics(t, n)) {
			if text, found := strings.CutPrefix(strings.TrimSpace(line), "fuchsiapitch_requests_in_flight "); found {
				count, err := strconv.ParseInt(text, 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				sum += count
			}
		}
	}
	return sum
}
