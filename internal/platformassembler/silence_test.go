package platformassembler

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// silences are the times for which a sound server falls silent, and one that exceeds the
// stall time-out of the stand-in.
var silences = []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 4 * time.Second}

// Guards against a request that ends without the server's response, or runs twice, because
// its server is silent for a while and then goes on.
func TestResponsesOutliveSilence(t *testing.T) {
	c := newTestCluster(t, 2)
	c.awaitController(t)
	for _, d := range silences {
		t.Run(fmt.Sprintf("stream, %s", d), func(t *testing.T) {
			response, _ := c.awaitResponse(t, 0, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
			defer response.Body.Close()
			id, found := strings.CutPrefix(response.Header.Get("X-Response-Seal"), "seal-")
			if !found {
				t.Fatalf("got status %d, want a stream", response.StatusCode)
			}
			got := readEvents(t, response.Body, func(n int) {
				if n == 3 {
					server := c.Fleet.Server(id).Faults()
					server.Pause()
					time.AfterFunc(d, server.Resume)
				}
			})
			if want := 20; got != want {
				t.Errorf("got %d events, want %d", got, want)
			}
		})
	}
	plainServers := []string{"p0", "p1"}
	for _, prefix := range []string{standin.BookPathPrefix, standin.LookPathPrefix} {
		for _, d := range silences {
			t.Run(fmt.Sprintf("%s, %s", prefix, d), func(t *testing.T) {
				for _, id := range plainServers {
					server := c.Fleet.Server(id).Faults()
					server.Pause()
					time.AfterFunc(d, server.Resume)
				}
				response, request := c.sendRequest(t, 0, http.MethodPost, prefix+"x", "two hours")
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), "two hours") {
					t.Errorf("got status %d, body %q and error %v, want the server's response", response.StatusCode, body, err)
				}
				var runs []int
				for _, id := range plainServers {
					runs = append(runs, c.Fleet.Server(id).RunCount(request))
				}
				slices.Sort(runs)
				if want := []int{0, 1}; !slices.Equal(runs, want) {
					t.Errorf("got %v runs at the servers, want %v", runs, want)
				}
			})
		}
	}
}
