package platformassembler

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// streamEnd is what a client gets of a stream.
type streamEnd struct {
	events int
	// took is the time from the first event to the end.
	took time.Duration
	err  error
}

// String implements fmt.Stringer.
func (e streamEnd) String() string {
	return fmt.Sprintf("%d events in %s and error %v", e.events, e.took.Round(time.Millisecond), e.err)
}

// isComplete reports whether the stream has all events.
func (e streamEnd) isComplete() bool { return e.err == nil && e.events == 20 }

// readStream sends a stream request with a time limit, calls a function with its server once it
// has begun, and reads its end.
func (c *testCluster) readStream(t *testing.T, host int, limit time.Duration, onBegin func(server *standin.Server)) streamEnd {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); ; time.Sleep(20 * time.Millisecond) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+c.clientAddresses[host]+standin.StreamPathPrefix+"x", strings.NewReader("prompt"))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = standin.HostName
		for name, value := range map[string]string{
			"X-Request-Id": fmt.Sprintf("b%d", c.requestCount.Add(1)), "X-Credential": standin.APIKey,
			"X-Deadline-Ms": fmt.Sprint(limit.Milliseconds()), "X-Model": standin.LargeModel, "X-Token-Usage": "100,120",
		} {
			r.Header.Set(name, value)
		}
		response, err := c.Fleet.Requester(hostName(host)).RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		server, isStream := strings.CutPrefix(response.Header.Get("X-Response-Seal"), "seal-")
		if !isStream && time.Now().Before(deadline) {
			response.Body.Close()
			continue
		}
		begin := time.Now()
		onBegin(c.Fleet.Server(server))
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		return streamEnd{events: strings.Count(string(data), "data: "), took: time.Since(begin), err: err}
	}
}

// setSlowdown slows all engines down.
func (c *testCluster) setSlowdown(factor int64) {
	for d := range 2 {
		for n := range 6 {
			c.Fleet.Server(fmt.Sprintf("e%d%d", d, n)).SetSlowdown(factor)
		}
	}
}

// Guards against a stream that is ended though its server goes on or another attempt is left,
// and against one that looks complete though its server has ended, its time limit has passed
// or its host has stopped.
func TestEndsOfStreams(t *testing.T) {
	const grace = 8 * time.Second // that of the stand-in
	for _, tt := range []struct {
		name     string
		attempts int
		limit    time.Duration
		slowdown int64
		prepare  func(c *testCluster)
		onBegin  func(c *testCluster, server *standin.Server)
		// wantComplete is true if the stream must not end early. Otherwise it must not look
		// complete, nor end before wantAfter.
		wantComplete bool
		wantAfter    time.Duration
	}{
		{
			name: "server ends, last attempt", attempts: 1, limit: 5 * time.Second,
			onBegin: func(_ *testCluster, s *standin.Server) { s.Faults().Kill() },
		},
		{
			name: "server ends, another attempt", attempts: 2, limit: 5 * time.Second,
			onBegin: func(_ *testCluster, s *standin.Server) { s.Faults().Kill() }, wantComplete: true,
		},
		{
			name: "response ends within an event, last attempt", attempts: 1, limit: 5 * time.Second,
			prepare: func(c *testCluster) {
				for _, s := range c.Fleet.OpenLeaders() {
					s.Faults().TruncateResponses(1, 20)
				}
			},
		},
		{
			name: "time limit", attempts: 2, limit: 600 * time.Millisecond, slowdown: 20, wantAfter: 400 * time.Millisecond,
		},
		{
			name: "no server until the time limit", attempts: 3, limit: 2 * time.Second,
			onBegin: func(c *testCluster, _ *standin.Server) {
				for d := range 2 {
					for n := range 6 {
						c.Fleet.Server(fmt.Sprintf("e%d%d", d, n)).Faults().Kill()
					}
				}
			},
		},
		{
			name: "host stops, server at work until the end", attempts: 2, limit: 20 * time.Second, slowdown: 120,
			onBegin: func(c *testCluster, _ *standin.Server) { close(c.stopChannels[0]) }, wantAfter: grace * 5 / 6,
		},
		{
			name: "host stops, stream ends before the grace period", attempts: 1, limit: 20 * time.Second, slowdown: 40,
			onBegin: func(c *testCluster, _ *standin.Server) { close(c.stopChannels[0]) }, wantComplete: true,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitController(t)
			c.publishAttempts(t, 2, tt.attempts)
			if tt.slowdown > 0 {
				c.setSlowdown(tt.slowdown)
			}
			if tt.prepare != nil {
				tt.prepare(c)
			}
			got := c.readStream(t, 0, tt.limit, func(s *standin.Server) {
				if tt.onBegin != nil {
					tt.onBegin(c, s)
				}
			})
			if got.isComplete() != tt.wantComplete || got.err == nil != tt.wantComplete || got.took < tt.wantAfter {
				t.Errorf("got %s, want it complete: %v, after %s at least", got, tt.wantComplete, tt.wantAfter)
			}
		})
	}
}

// Guards against a stream that is ended because servers refused to resume it as not run, though
// another server can.
func TestRefusedResumptionDoesNotEndStream(t *testing.T) {
	t.Parallel()
	const pauses = 300 * time.Millisecond
	for _, attempts := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d attempts", attempts), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitController(t)
			c.publishAttempts(t, 2, attempts)
			got := c.readStream(t, 0, 20*time.Second, func(server *standin.Server) {
				for _, s := range c.Fleet.OpenLeaders() {
					s.PauseRequests("", pauses)
				}
				server.Faults().Kill()
			})
			if !got.isComplete() {
				t.Errorf("got %s, want it complete", got)
			}
		})
	}
}

// Guards against a stream that is ended because it was resumed at the server that had broken it
// off, which has started again, is in no group and refuses it.
func TestRestartedServerDoesNotEndStream(t *testing.T) {
	t.Parallel()
	const otherStreams, otherPath = 60, "/other/"
	for _, downtime := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(downtime.String(), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitController(t)
			// The other streams take nothing from the retry budget.
			c.publishEdited(t, 2, func(document map[string]any) {
				routes := document["routes"].([]any)
				stream := routes[0].(map[string]any)
				stream["max_attempts"] = 2
				other := maps.Clone(stream)
				other["name"], other["path_prefix"], other["max_attempts"] = "other", otherPath, 1
				document["routes"] = append(routes, other)
			})
			c.setSlowdown(10)
			var clients sync.WaitGroup
			var ended atomic.Int64
			defer clients.Wait()
			got := c.readStream(t, 0, 20*time.Second, func(server *standin.Server) {
				// All slots are taken, so that only those of the ended server become free.
				for n := range otherStreams {
					clients.Go(func() {
						defer ended.Add(1)
						_, _, _ = c.trySendChecked(t, n%2, otherPath)
					})
				}
				c.await(t, "other streams", func() bool { return ended.Load()+c.requestsInFlight(t) > otherStreams })
				server.Crash(downtime)
			})
			if !got.isComplete() {
				t.Errorf("got %s, want it complete", got)
			}
		})
	}
}

// Guards against a stream on its last attempt that is ended because a server of its group
// announces that it leaves, while the group still serves.
func TestPlannedDepartureDoesNotEndStream(t *testing.T) {
	t.Parallel()
	for name, departing := range map[string]func(c *testCluster, leader *standin.Server) *standin.Server{
		"leader": func(_ *testCluster, leader *standin.Server) *standin.Server { return leader },
		"member": func(c *testCluster, leader *standin.Server) *standin.Server {
			return c.Fleet.Server(leader.Members()[1])
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitController(t)
			c.publishAttempts(t, 2, 1)
			c.setSlowdown(30) // A stream takes 3 s.
			got := c.readStream(t, 0, 20*time.Second, func(server *standin.Server) { departing(c, server).StartDraining() })
			if !got.isComplete() {
				t.Errorf("got %s, want it complete", got)
			}
		})
	}
}

// Guards against a stream that is ended long before its time limit because no other server could
// be connected to for a second or two: attempts that were never sent have used up those of its
// route.
func TestUnconnectableServersDoNotEndStream(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.awaitController(t)
	c.publishAttempts(t, 2, 2)
	c.setSlowdown(20)
	got := c.readStream(t, 0, 20*time.Second, func(server *standin.Server) {
		var silences sync.WaitGroup
		for _, s := range c.Fleet.OpenLeaders() {
			if s != server {
				silences.Go(func() { s.FallSilent(longestSilence, false) })
			}
		}
		silences.Wait()
		server.Crash(time.Second)
	})
	if !got.isComplete() {
		t.Errorf("got %s, want it complete", got)
	}
}
