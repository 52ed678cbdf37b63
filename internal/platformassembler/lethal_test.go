package platformassembler

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

const (
	// lethalPart is the part of a prompt that ends the engines.
	lethalPart = "dead0001"
	// calmSpan is how long only sound requests are sent, lethalSpan how long lethal ones
	// come as well.
	calmSpan, lethalSpan = 3 * time.Second, 14 * time.Second
)

// promptResult is the end of a request with the parts of a prompt.
type promptResult struct {
	status     int
	retryAfter float64
	isComplete bool
}

// promptHeader returns the parts of a prompt as a client sends them.
func promptHeader(parts []string) string {
	fields := make([]string, 0, len(parts))
	for _, p := range parts {
		fields = append(fields, p+":100")
	}
	return strings.Join(fields, ",")
}

// sendPrompt sends a stream request with the parts of a prompt and reads its response.
func (c *testCluster) sendPrompt(ctx context.Context, t *testing.T, host int, parts []string) promptResult {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.clientAddresses[host]+standin.StreamPathPrefix+"x", strings.NewReader("prompt"))
	if err != nil {
		t.Error(err)
		return promptResult{}
	}
	r.Host = standin.HostName
	for name, value := range map[string]string{
		"X-Request-Id": fmt.Sprintf("p%d", c.requestCount.Add(1)), "X-Credential": standin.APIKey, "X-Deadline-Ms": "4000",
		"X-Model": standin.LargeModel, "X-Token-Usage": "100,120", "X-Prompt-Prefix": promptHeader(parts),
	} {
		r.Header.Set(name, value)
	}
	response, err := c.Fleet.Requester(hostName(host)).RoundTrip(r)
	if err != nil {
		return promptResult{}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return promptResult{status: response.StatusCode, retryAfter: retryAfter, isComplete: err == nil && response.StatusCode == http.StatusOK}
}

// soundParts returns the parts of a sound prompt: those of the caller and of a topic, which
// many share, and one of its own.
func soundParts(rng *rand.Rand) []string {
	return []string{"ca11e400", fmt.Sprintf("70b1c%03d", rng.IntN(4)), fmt.Sprintf("%08x", rng.Uint32())}
}

// lethalParts returns the parts of a lethal prompt, which shares all others with sound ones, in
// any order.
func lethalParts(rng *rand.Rand) []string {
	sound := soundParts(rng)
	at := rng.IntN(len(sound))
	return append(append(append([]string{}, sound[:at]...), lethalPart), sound[at:]...)
}

// sendPrompts sends prompts to all hosts from several clients each until the context ends.
func (c *testCluster) sendPrompts(ctx context.Context, t *testing.T, clients *sync.WaitGroup, clientsPerHost int, seed uint64, interval time.Duration, newParts func(*rand.Rand) []string, onResult func(promptResult)) {
	t.Helper()
	for n := range clientsPerHost * len(c.clientAddresses) {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		clients.Go(func() {
			for ctx.Err() == nil {
				result := c.sendPrompt(ctx, t, n%len(c.clientAddresses), newParts(rng))
				if ctx.Err() == nil {
					onResult(result)
				}
				time.Sleep(interval/2 + time.Duration(rng.Int64N(int64(interval))))
			}
		})
	}
}

// Guards against requests with one part in their prompts that end server after server: all
// hosts stop sending them, and serve sound requests that share their other parts.
func TestLethalPartIsRefused(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	c.sendPrompts(ctx, t, &clients, 2, 1, 50*time.Millisecond, soundParts, func(promptResult) {})
	time.Sleep(calmSpan)
	c.Fleet.SetLethalPart(lethalPart)
	var mutex sync.Mutex
	var last promptResult
	c.sendPrompts(ctx, t, &clients, 3, 2, 100*time.Millisecond, lethalParts, func(r promptResult) {
		mutex.Lock()
		defer mutex.Unlock()
		last = r
	})
	time.Sleep(lethalSpan)
	cancel()
	clients.Wait()
	c.assertSoundRequestsRan(t)
	for n := range c.clientAddresses {
		if got, want := fmt.Sprint(c.fetchStatus(t, n).QuarantinedParts), fmt.Sprint([]quarantiner.Part{quarantiner.NewPart(lethalPart)}); got != want {
			t.Errorf("host %d: got quarantined parts %s, want %s", n, got, want)
		}
	}
	c.assertNoViolation(t, "BUDGET")
	if last.status != http.StatusServiceUnavailable || last.retryAfter < 1 {
		t.Errorf("got status %d and a retry after %.1f s for the last lethal request, want 503 and 1 s or more", last.status, last.retryAfter)
	}
}

// assertSoundRequestsRan checks that sound requests ran beside lethal ones.
func (c *testCluster) assertSoundRequestsRan(t *testing.T) {
	t.Helper()
	before, beside := c.Fleet.ComparedRequests(lethalPart)
	t.Logf("%d servers ended; %d sound requests before and %d beside are compared", c.Fleet.LethalCrashes(lethalPart), before, beside)
	if before == 0 || beside == 0 {
		t.Error("got no sound requests to compare, want some")
	}
	for _, v := range c.Fleet.CheckSoundRequests(lethalPart) {
		t.Errorf("got violation %q, want none", v)
	}
}
