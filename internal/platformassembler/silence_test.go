package platformassembler

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
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

// longestSilence is the longest time for which sound servers fall silent.
const longestSilence = 2 * time.Second

// soundSilences returns the shorter times for which sound servers fall silent: a few, or more
// of them if the number of seeds of the soak is set.
func soundSilences() []time.Duration {
	if os.Getenv(soakSeedsVariable) == "" {
		return []time.Duration{time.Second, 1600 * time.Millisecond}
	}
	return []time.Duration{500 * time.Millisecond, time.Second, 1400 * time.Millisecond, 1600 * time.Millisecond}
}

// silentGroup says which servers of a group fall silent.
type silentGroup struct {
	name string
	// servers returns the servers that fall silent with the group of a leader.
	servers func(c *testCluster, leader *standin.Server) []*standin.Server
}

var (
	silentLeader = silentGroup{"leader", func(_ *testCluster, leader *standin.Server) []*standin.Server { return []*standin.Server{leader} }}
	silentMember = silentGroup{"member", func(c *testCluster, leader *standin.Server) []*standin.Server {
		return []*standin.Server{c.Fleet.Server(leader.Members()[1])}
	}}
	silentLeaders = silentGroup{"all leaders", func(c *testCluster, _ *standin.Server) []*standin.Server { return c.Fleet.OpenLeaders() }}
)

// publishAttempts publishes a configuration in which the routes of streams allow a number of
// attempts.
func (c *testCluster) publishAttempts(t *testing.T, version, attempts int) {
	t.Helper()
	c.publishEdited(t, version, func(document map[string]any) {
		routes := document["routes"].([]any)
		routes[0].(map[string]any)["max_attempts"] = attempts
	})
}

// publishEdited publishes a changed configuration and waits until all hosts have it.
func (c *testCluster) publishEdited(t *testing.T, version int, edit func(document map[string]any)) {
	t.Helper()
	var document map[string]any
	if err := json.Unmarshal(standin.Configuration(version), &document); err != nil {
		t.Fatal(err)
	}
	edit(document)
	data, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	c.Store.PublishConfiguration(data)
	for n := range c.clientAddresses {
		c.await(t, "configuration", func() bool { return c.fetchStatus(t, n).ConfigurationVersion >= int64(version) })
	}
}

// runningStream is a stream of which the first event has arrived.
type runningStream struct {
	host    int
	request string
	server  *standin.Server
	body    io.ReadCloser
}

// startStream starts a stream at a host.
func (c *testCluster) startStream(t *testing.T, host int) *runningStream {
	t.Helper()
	response, id := c.awaitResponse(t, host, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
	server, found := strings.CutPrefix(response.Header.Get("X-Response-Seal"), "seal-")
	if !found {
		t.Fatalf("got status %d, want a stream", response.StatusCode)
	}
	return &runningStream{host: host, request: id, server: c.Fleet.Server(server), body: response.Body}
}

// assertComplete reads the rest of a stream and checks that it is complete.
func (s *runningStream) assertComplete(t *testing.T, circumstance string) {
	t.Helper()
	defer s.body.Close()
	data, err := io.ReadAll(s.body)
	if got, want := strings.Count(string(data), "data: "), 20; err != nil || got != want {
		t.Errorf("%s: stream %s of host %d, begun at %s: got %d events and error %v, want %d", circumstance, s.request, s.host, s.server.ID(), got, err, want)
	}
}

// assertStreamsOutliveSilence checks that streams are complete though servers of the group of
// the first of them are silent meanwhile. Requests that arrive during the silence make the
// hosts connect to the silent servers.
func assertStreamsOutliveSilence(t *testing.T, attempts int, group silentGroup, connectable bool, silences []time.Duration) {
	t.Helper()
	for _, d := range silences {
		t.Run(d.String(), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitController(t)
			c.publishAttempts(t, 2, attempts)
			streams := []*runningStream{c.startStream(t, 0), c.startStream(t, 1), c.startStream(t, 0)}
			for _, s := range group.servers(c, streams[2].server) {
				s.FallSilent(d, connectable)
			}
			var clients sync.WaitGroup
			for n := range 8 {
				clients.Go(func() {
					time.Sleep(time.Duration(n) * d / 8)
					response, _ := c.sendRequest(t, n%2, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				})
			}
			for _, s := range streams {
				s.assertComplete(t, fmt.Sprintf("silence of the %s for %s", group.name, d))
			}
			clients.Wait()
		})
	}
}

// silentGroups are the servers of a group that fall silent, one or several at once.
var silentGroups = []silentGroup{silentLeader, silentMember, silentLeaders}

// Guards against a stream that is ended because a sound server of its group is silent for a
// second or so, but accepts connections.
func TestStreamsOutliveConnectableSilence(t *testing.T) {
	for _, attempts := range []int{1, 3} {
		for _, group := range silentGroups {
			t.Run(fmt.Sprintf("%s, %d attempts", group.name, attempts), func(t *testing.T) {
				assertStreamsOutliveSilence(t, attempts, group, true, soundSilences())
			})
		}
	}
}

// Guards against a stream on its last attempt that is ended because a sound server of its group
// is silent for two seconds, but accepts connections.
func TestLastAttemptOutlivesSilenceOfTwoSeconds(t *testing.T) {
	for _, group := range silentGroups {
		t.Run(group.name, func(t *testing.T) {
			assertStreamsOutliveSilence(t, 1, group, true, []time.Duration{longestSilence})
		})
	}
}

// Guards against a stream that is ended because a sound server of its group cannot be connected
// to for up to two seconds, though another attempt is left.
func TestStreamsOutliveUnconnectableSilence(t *testing.T) {
	for _, group := range silentGroups {
		t.Run(group.name, func(t *testing.T) {
			assertStreamsOutliveSilence(t, 3, group, false, append(soundSilences(), longestSilence))
		})
	}
}

// Guards against a stream on its last attempt that is ended because a sound server of its group
// cannot be connected to for up to two seconds.
func TestLastAttemptOutlivesUnconnectableSilence(t *testing.T) {
	for _, group := range silentGroups {
		t.Run(group.name, func(t *testing.T) {
			assertStreamsOutliveSilence(t, 1, group, false, append(soundSilences(), longestSilence))
		})
	}
}

// Guards against a booking or look-up that was sent and gets no response of its server, or runs
// twice, because the server falls silent before it responds.
func TestSentRequestsOutliveSilence(t *testing.T) {
	for _, connectable := range []bool{true, false} {
		for _, prefix := range []string{standin.BookPathPrefix, standin.LookPathPrefix} {
			for _, d := range append(soundSilences(), longestSilence) {
				t.Run(fmt.Sprintf("%s, connectable %v, %s", prefix, connectable, d), func(t *testing.T) {
					t.Parallel()
					c := newTestCluster(t, 2)
					plainServers := []string{"p0", "p1"}
					const responseDelay = 200 * time.Millisecond
					for _, id := range plainServers {
						c.Fleet.Server(id).Faults().DelayResponses(responseDelay)
					}
					time.AfterFunc(responseDelay/2, func() {
						for _, id := range plainServers {
							c.Fleet.Server(id).FallSilent(d, connectable)
						}
					})
					response, request := c.sendRequest(t, 0, http.MethodPost, prefix+"x", "two hours")
					defer response.Body.Close()
					body, err := io.ReadAll(response.Body)
					if err != nil || response.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), "two hours") {
						t.Errorf("got status %d, body %q and error %v, want the server's response", response.StatusCode, body, err)
					}
					runs := 0
					for _, id := range plainServers {
						runs += c.Fleet.Server(id).RunCount(request)
					}
					if runs < 1 || prefix == standin.BookPathPrefix && runs > 1 {
						t.Errorf("got %d runs, want one", runs)
					}
				})
			}
		}
	}
}
