package standin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

const chatBody = `{"model":"vidrio-llm","messages":[{"role":"user","content":"a lamp shade"}],"max_tokens":8,"stream":true}`

func assertNoError(t *testing.T, err error, what string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", what, err)
	}
}

func assertEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func assertEventually(t *testing.T, condition func() bool, what string) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: got false, want true", what)
}

func startFleet(t *testing.T, options ...Option) *Fleet {
	t.Helper()
	f, cleanUp, err := Start(options...)
	assertNoError(t, err, "start")
	t.Cleanup(cleanUp)
	return f
}

// installTwoEngineGroup turns the first two engines into a ready group.
func installTwoEngineGroup(f *Fleet) (leader, member *engine.Engine) {
	leader, member = f.Engines()[0], f.Engines()[1]
	assignment := fuchsiapitch.NewAssignment("g1", "vidrio-llm",
		[]fuchsiapitch.ServerID{leader.ID(), member.ID()}, "m", "1")
	engine.InstallGroup(fuchsiapitch.NewFencingToken(1, 1), assignment, leader, member)
	return leader, member
}

func post(ctx context.Context, address, path, body string, header ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Request-Id", "r1")
	for n := 0; n < len(header); n += 2 {
		r.Header.Set(header[n], header[n+1])
	}
	return http.DefaultTransport.RoundTrip(r)
}

func postChat(t *testing.T, address, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	response, err := post(t.Context(), address, "/v1/chat/completions", body, header...)
	assertNoError(t, err, "post")
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

func TestEngineStreams(t *testing.T) {
	f := startFleet(t)
	leader, member := installTwoEngineGroup(f)
	response, completeStream, err := postChat(t, leader.Address(), chatBody)
	assertNoError(t, err, "read")

	t.Run("each token is one event and the end is marked", func(t *testing.T) {
		assertEqual(t, strings.Count(completeStream, "id: r1/"), 8, "tokens")
		assertEqual(t, strings.HasSuffix(completeStream, "data: [DONE]\n\n"), true, "terminator")
		assertEqual(t, response.Header.Get("X-Group"), "g1", "group")
		assertEqual(t, response.Header.Get("X-Request-Id"), "r1", "request id")
	})
	t.Run("a resumed stream has the same text", func(t *testing.T) {
		_, resumedStream, err := postChat(t, leader.Address(), chatBody, "Last-Event-ID", "r1/3")
		assertNoError(t, err, "read")
		assertEqual(t, strings.HasSuffix(completeStream, resumedStream), true, "suffix")
		assertEqual(t, strings.Count(resumedStream, "id: r1/"), 5, "tokens")
	})
	t.Run("a plain response declares its length", func(t *testing.T) {
		response, data, err := postChat(t, leader.Address(), strings.Replace(chatBody, "true", "false", 1))
		assertNoError(t, err, "read")
		assertEqual(t, response.ContentLength, int64(len(data)), "length")
	})
	t.Run("a member that does not lead refuses", func(t *testing.T) {
		response, _, err := postChat(t, member.Address(), chatBody)
		assertNoError(t, err, "read")
		assertEqual(t, response.Header.Get("X-Request-Outcome"), "not-run", "outcome")
	})
	t.Run("a truncated stream lacks its terminator", func(t *testing.T) {
		leader.TruncateResponses(1, len(completeStream)/2)
		_, truncatedStream, err := postChat(t, leader.Address(), chatBody)
		assertNoError(t, err, "read")
		assertEqual(t, truncatedStream, completeStream[:len(completeStream)/2], "text")
	})
	t.Run("a crossed stream names another request", func(t *testing.T) {
		leader.CrossResponses(1)
		response, _, err := postChat(t, leader.Address(), chatBody, "X-Request-Id", "r2")
		assertNoError(t, err, "read")
		assertEqual(t, response.Header.Get("X-Request-Id"), "r1", "request id")
	})
	t.Run("a request whose response is lost was run", func(t *testing.T) {
		before := leader.Counts().EnqueuedRequests
		leader.LoseResponses(1)
		_, err := post(t.Context(), leader.Address(), "/v1/chat/completions", chatBody)
		assertEqual(t, err != nil, true, "failure")
		assertEqual(t, leader.Counts().EnqueuedRequests, before+1, "runs")
	})
	t.Run("the loss of a member truncates the stream", func(t *testing.T) {
		response, err := post(t.Context(), leader.Address(), "/v1/chat/completions",
			strings.Replace(chatBody, ":8", ":100000", 1))
		assertNoError(t, err, "post")
		defer response.Body.Close()
		member.Kill()
		_, err = io.ReadAll(response.Body)
		assertEqual(t, err != nil, true, "failure")
		assertEqual(t, leader.Status().Ready(), false, "ready")
	})
}

func TestEngineCancels(t *testing.T) {
	f := startFleet(t)
	leader, _ := installTwoEngineGroup(f)
	ctx, cancel := context.WithCancel(t.Context())
	response, err := post(ctx, leader.Address(), "/v1/chat/completions", strings.Replace(chatBody, ":8", ":100000", 1))
	assertNoError(t, err, "post")
	defer response.Body.Close()
	cancel()
	assertEventually(t, func() bool { return leader.Counts().CancelledRequests == 1 }, "cancelled")
}

func TestEngineOrders(t *testing.T) {
	cases := []struct {
		name     string
		options  []engine.Option
		accepted bool
	}{
		{"checked", []engine.Option{engine.WithFencing()}, false},
		{"ignored", nil, true},
	}
	for _, c := range cases {
		t.Run("a stale fencing token is "+c.name, func(t *testing.T) {
			e := startFleet(t, WithEngineOptions(c.options...)).Engines()[0]
			assignment := fuchsiapitch.NewAssignment("g1", "s", []fuchsiapitch.ServerID{e.ID()}, "m", "1")
			e.ExecuteOrder(fuchsiapitch.NewOrder(fuchsiapitch.NewFencingToken(2, 1), assignment))
			_, accepted := e.ExecuteOrder(fuchsiapitch.NewOrder(fuchsiapitch.NewFencingToken(1, 9), fuchsiapitch.Assignment{}))
			assertEqual(t, accepted, c.accepted, "accepted")
			assertEqual(t, e.Status().FencingToken(), fuchsiapitch.NewFencingToken(2, 1), "fencing token")
		})
	}
	t.Run("weights are loaded before an engine is ready", func(t *testing.T) {
		f := startFleet(t)
		e := f.Engines()[0]
		e.ExecuteOrder(fuchsiapitch.NewOrder(fuchsiapitch.NewFencingToken(1, 1),
			fuchsiapitch.NewAssignment("g1", "s", []fuchsiapitch.ServerID{e.ID()}, "m", "1")))
		assertEventually(t, func() bool { return e.Status().Ready() }, "ready")
		assertEqual(t, f.WeightStore().StartedLoads(), 1, "loads")
	})
	t.Run("a new incarnation has no assignment", func(t *testing.T) {
		f := startFleet(t)
		leader, _ := installTwoEngineGroup(f)
		leader.Kill()
		assertNoError(t, leader.Restart(), "restart")
		engineStatus := leader.Status()
		assertEqual(t, engineStatus.Incarnation(), uint64(2), "incarnation")
		assertEqual(t, engineStatus.Assignment().Group(), "", "group")
	})
}

func TestEngineCachesPrefixes(t *testing.T) {
	f := startFleet(t, WithEngineOptions(engine.WithReportLag(0)))
	leader, _ := installTwoEngineGroup(f)
	longBody := strings.Replace(chatBody, "a lamp shade", strings.Repeat("glass ", 400), 1)
	_, _, err := postChat(t, leader.Address(), longBody)
	assertNoError(t, err, "first")
	assertEqual(t, leader.Counts().CachedTokens, 0, "cached tokens of the first request")
	_, _, err = postChat(t, leader.Address(), longBody)
	assertNoError(t, err, "second")
	assertEqual(t, leader.Counts().CachedTokens > 500, true, "cached tokens of the second request")
}

func TestSilentConnectionsStaySilent(t *testing.T) {
	f := startFleet(t, WithApplications("taller-app", 1))
	a := f.Applications()[0]
	reusedTransport := &http.Transport{}
	defer reusedTransport.CloseIdleConnections()
	lookUp := func(transport *http.Transport, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Address()+"/lookups/x", http.NoBody)
		assertNoError(t, err, "request")
		response, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return err
	}
	assertNoError(t, lookUp(reusedTransport, time.Minute), "first")
	a.SilenceConnections()
	assertEqual(t, lookUp(reusedTransport, 100*time.Millisecond) != nil, true, "failure on the reused connection")
	newTransport := &http.Transport{}
	defer newTransport.CloseIdleConnections()
	assertNoError(t, lookUp(newTransport, time.Minute), "new connection")
}

func TestApplicationCountsRuns(t *testing.T) {
	f := startFleet(t, WithApplications("taller-app", 2))
	for _, a := range f.Applications() {
		response, err := post(t.Context(), a.Address(), "/bookings", `{"reference":"b1"}`)
		assertNoError(t, err, "post")
		_ = response.Body.Close()
	}
	assertEqual(t, f.Ledger().RunCount("b1"), 2, "runs")
	assertEqual(t, len(f.Ledger().RepeatedBookings()), 1, "repeated bookings")
}

func TestFaultsOverHTTP(t *testing.T) {
	f := startFleet(t)
	cases := []struct {
		body   string
		status int
	}{
		{`{"fault":"slow","count":3}`, http.StatusNoContent},
		{`{"fault":"lose-answers","count":1}`, http.StatusNoContent},
		{`{"fault":"unknown"}`, http.StatusBadRequest},
		{`{`, http.StatusBadRequest},
	}
	for _, c := range cases {
		response, err := post(t.Context(), f.Engines()[0].Address(), "/faults", c.body)
		assertNoError(t, err, c.body)
		_ = response.Body.Close()
		assertEqual(t, response.StatusCode, c.status, c.body)
	}
	response, err := post(t.Context(), f.Engines()[1].Address(), "/faults", `{"fault":"die"}`)
	assertNoError(t, err, "die")
	_ = response.Body.Close()
	assertEventually(t, f.Engines()[1].Dead, "dead")
}
