package orderer

import (
	"errors"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

func assertNoError(t *testing.T, err error, action string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", action, err)
	}
}

func assertEqual[T comparable](t *testing.T, got, want T, subject string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", subject, got, want)
	}
}

func assertUnreachable(t *testing.T, err error, action string) {
	t.Helper()
	var unreachable *fuchsiapitch.UnreachableError
	if !errors.As(err, &unreachable) {
		t.Fatalf("%s: got %v, want an UnreachableError", action, err)
	}
}

// startEngine starts an engine whose status is always up to date. It returns a client,
// the engine and its backend server.
func startEngine(t *testing.T, options ...engine.Option) (*Orderer, *engine.Engine, fuchsiapitch.BackendServer) {
	t.Helper()
	e, stop, err := engine.Start("e1", engine.NewRegistry(), append(options, engine.WithReportLag(0))...)
	assertNoError(t, err, "start")
	t.Cleanup(stop)
	o, closeConnections := New(WithCallTimeout(300 * time.Millisecond))
	t.Cleanup(closeConnections)
	return o, e, fuchsiapitch.NewBackendServer("e1", fuchsiapitch.EngineServer, e.Address(), "dc-a")
}

func newOrder(term fuchsiapitch.Term) fuchsiapitch.Order {
	assignment := fuchsiapitch.NewAssignment("g1", "s", []fuchsiapitch.ServerID{"e1"}, "m", "2", "adapter")
	return fuchsiapitch.NewOrder(fuchsiapitch.NewFencingToken(term, 4), assignment)
}

// The engine applies every field of an order and reports it in its status.
func TestStatusReportsOrder(t *testing.T) {
	o, _, server := startEngine(t)
	status, err := o.Order(t.Context(), server, newOrder(3))
	assertNoError(t, err, "order")
	assertEqual(t, status.FencingToken(), fuchsiapitch.NewFencingToken(3, 4), "fence")
	status, err = o.EngineStatus(t.Context(), server)
	assertNoError(t, err, "account")
	assertEqual(t, status.Assignment().Group(), "g1", "group")
	assertEqual(t, status.Assignment().Members()[0], "e1", "member")
	assertEqual(t, status.Assignment().Adapters()[0], "adapter", "adapter")
	assertEqual(t, status.Assignment().Version(), "2", "version")
	assertEqual(t, status.Incarnation(), 1, "incarnation")
}

// An order with a stale fencing token is rejected only by an engine that enforces
// fencing.
func TestStaleFencingTokens(t *testing.T) {
	t.Run("rejected by an engine that enforces fencing", func(t *testing.T) {
		o, _, server := startEngine(t, engine.WithFencing())
		_, err := o.Order(t.Context(), server, newOrder(3))
		assertNoError(t, err, "order")
		_, err = o.Order(t.Context(), server, newOrder(2))
		var fenced *fuchsiapitch.StaleFencingTokenError
		assertEqual(t, errors.As(err, &fenced), true, "StaleFencingTokenError")
		assertEqual(t, fenced.HighestToken, fuchsiapitch.NewFencingToken(3, 4), "highest token seen")
	})
	t.Run("accepted by an engine that does not enforce fencing", func(t *testing.T) {
		o, _, server := startEngine(t)
		_, err := o.Order(t.Context(), server, newOrder(3))
		assertNoError(t, err, "order")
		_, err = o.Order(t.Context(), server, newOrder(2))
		assertNoError(t, err, "order with a stale fencing token")
	})
}

// An order to an engine that does not respond, and a status of another engine at the
// same address, are reported as UnreachableError. The order must not take effect.
func TestUnreachableEngine(t *testing.T) {
	cases := []struct {
		name           string
		injectFault    func(*engine.Engine)
		acceptedOrders int
	}{
		{"dead", func(e *engine.Engine) { e.Kill() }, 0},
		{"paused", func(e *engine.Engine) { e.Pause() }, 0},
		{"silent", func(e *engine.Engine) { e.SilenceConnections() }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, e, server := startEngine(t)
			_, err := o.EngineStatus(t.Context(), server)
			assertNoError(t, err, "status before the fault")
			c.injectFault(e)
			_, err = o.Order(t.Context(), server, newOrder(1))
			assertUnreachable(t, err, "order")
			assertEqual(t, e.Counts().AcceptedOrders, c.acceptedOrders, "accepted orders")
		})
	}
	t.Run("another engine at the address", func(t *testing.T) {
		o, e, _ := startEngine(t)
		other := fuchsiapitch.NewBackendServer("e2", fuchsiapitch.EngineServer, e.Address(), "dc-a")
		_, err := o.EngineStatus(t.Context(), other)
		assertUnreachable(t, err, "account")
	})
}

func TestCacheEvents(t *testing.T) {
	o, _, server := startEngine(t)
	events, err := o.CacheEvents(t.Context(), server, 0)
	assertNoError(t, err, "cache events")
	assertEqual(t, len(events), 0, "events")
}

// Arbitrary input must not cause a panic or yield a negative fencing token.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"server":"e1","incarnation":1,"term":3,"sequence":4,"group":"g","members":["e1"],"ready":true}`,
		`[{"sequence":1,"prefix":18446744073709551615,"evicted":true}]`, `{"term":-1}`, `null`, ``, `{"members":[1]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		status, err := decodeStatus(data)
		if err == nil && status.FencingToken().Less(fuchsiapitch.FencingToken{}) {
			t.Fatalf("fencing token: got %v, want at least zero", status.FencingToken())
		}
		_, _ = decodeCacheEvents(data)
	})
}

// An unchanged status is not sent again, so that its response is smaller. A changed
// status is not served from the cache.
func TestUnchangedStatusIsNotResent(t *testing.T) {
	o, e, server := startEngine(t)
	first, err := o.EngineStatus(t.Context(), server)
	assertNoError(t, err, "first status")
	fullResponseBytes := e.WireBytes()
	second, err := o.EngineStatus(t.Context(), server)
	assertNoError(t, err, "second status")
	assertEqual(t, second.Incarnation(), first.Incarnation(), "incarnation")
	if got := e.WireBytes() - fullResponseBytes; got >= fullResponseBytes {
		t.Errorf("got %d bytes for an unchanged status, want fewer than the %d of a full response", got, fullResponseBytes)
	}
	_, err = o.Order(t.Context(), server, newOrder(3))
	assertNoError(t, err, "order")
	changed, err := o.EngineStatus(t.Context(), server)
	assertNoError(t, err, "changed status")
	assertEqual(t, changed.FencingToken(), fuchsiapitch.NewFencingToken(3, 4), "fence")
}
