package platformassembler

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// Guards against a stream that a stopping host takes and cuts off at the end of the stop, while
// its server is silent: it is either complete or refused as not run.
func TestStopDoesNotCutStreamOfSilentServer(t *testing.T) {
	for _, sentAfter := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(fmt.Sprintf("sent after %s", sentAfter), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitController(t)
			c.assertStream(t, 0)
			c.setSlowdown(50) // A stream takes 5 s.
			stopped := time.Now()
			close(c.stopChannels[0])
			time.Sleep(time.Until(stopped.Add(sentAfter)))
			response, _ := c.sendRequest(t, 0, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
			defer response.Body.Close()
			server, isStream := strings.CutPrefix(response.Header.Get("X-Response-Seal"), "seal-")
			if !isStream {
				if response.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("got status %d, want a stream or a refusal", response.StatusCode)
				}
				return
			}
			// Two silences make a stream of this server longer than the stop.
			go func() {
				for _, at := range []time.Duration{3500 * time.Millisecond, 6 * time.Second} {
					time.Sleep(time.Until(stopped.Add(at)))
					c.Fleet.Server(server).FallSilent(longestSilence, true)
				}
			}()
			data, err := io.ReadAll(response.Body)
			if got, want := strings.Count(string(data), "data: "), 20; err != nil || got != want {
				t.Errorf("got %d events and error %v %s after the stop, want %d", got, err, time.Since(stopped).Round(time.Millisecond), want)
			}
		})
	}
}
