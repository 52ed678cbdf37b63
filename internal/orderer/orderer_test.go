package orderer

import (
	"errors"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

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

func assertUnreachable(t *testing.T, err error, what string) {
	t.Helper()
	var unreachable *fuchsiapitch.UnreachableError
	if !errors.As(err, &unreachable) {
		t.Fatalf("%s: got %v, want an UnreachableError", what, err)
	}
}

func start(t *testing.T, options ...engine.Option) (*Orderer, *engine.Engine, fuchsiapitch.BackendServer) {
	t.Helper()
	e, stop, err := engine.Start("e1", engine.NewRegistry(), append(options, engine.WithReportLag(0))...)
	assertNoError(t, err, "start")
	t.Cleanup(stop)
	o, cleanUp := New(WithTimeout(300 * time.Millisecond))
	t.Cleanup(cleanUp)
	return o, e, fuchsiapitch.NewBackendServer("e1", fuchsiapitch.EngineServer, e.Address(), "dc-a")
}

func newOrder(term fuchsiapitch.Term) fuchsiapitch.Order {
	assignment := fuchsiapitch.NewAssignment("g1", "s", []fuchsiapitch.ServerID{"e1"}, "m", "2", "adapter")
	return fuchsiapitch.NewOrder(fuchsiapitch.NewFencingToken(term, 4), assignment)
}

func TestOrdersAreTakenUp(t *testing.T) {
	o, _, server := start(t)
	account, err := o.Order(t.Context(), server, newOrder(3))
	assertNoError(t, err, "order")
	assertEqual(t, account.FencingToken(), fuchsiapitch.NewFencingToken(3, 4), "fence")
	account, err = o.EngineStatus(t.Context(), server)
	assertNoError(t, err, "account")
	assertEqual(t, account.Assignment().Group(), "g1", "group")
	assertEqual(t, account.Assignment().Members()[0], "e1", "member")
	assertEqual(t, account.Assignment().Adapters()[0], "adapter", "adapter")
	assertEqual(t, account.Assignment().Version(), "2", "version")
	assertEqual(t, account.Incarnation(), 1, "incarnation")
}

func TestOldFencingNumbers(t *testing.T) {
	t.Run("refused by an engine that checks", func(t *testing.T) {
		o, _, server := start(t, engine.WithFencing())
		_, err := o.Order(t.Context(), server, newOrder(3))
		assertNoError(t, err, "order")
		_, err = o.Order(t.Context(), server, newOrder(2))
		var fenced *fuchsiapitch.StaleFencingTokenError
		assertEqual(t, errors.As(err, &fenced), true, "FencedError")
		assertEqual(t, fenced.HighestToken, fuchsiapitch.NewFencingToken(3, 4), "seen")
	})
	t.Run("taken by an engine that does not", func(t *testing.T) {
		o, _, server := start(t)
		_, err := o.Order(t.Context(), server, newOrder(3))
		assertNoError(t, err, "order")
		_, err = o.Order(t.Context(), server, newOrder(2))
		assertNoError(t, err, "old order")
	})
}

func TestFailures(t *testing.T) {
	cases := []struct {
		name   string
		strike func(*engine.Engine)
		taken  int
	}{
		{"dead", func(e *engine.Engine) { e.Die() }, 0},
		{"paused", func(e *engine.Engine) { e.Pause() }, 0},
		{"silent", func(e *engine.Engine) { e.Silence() }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, e, server := start(t)
			_, err := o.EngineStatus(t.Context(), server)
			assertNoError(t, err, "account before")
			c.strike(e)
			_, err = o.Order(t.Context(), server, newOrder(1))
			assertUnreachable(t, err, "order")
			assertEqual(t, e.Counts().AcceptedOrders, c.taken, "orders taken up")
		})
	}
	t.Run("another engine at the address", func(t *testing.T) {
		o, e, _ := start(t)
		other := fuchsiapitch.NewBackendServer("e2", fuchsiapitch.EngineServer, e.Address(), "dc-a")
		_, err := o.EngineStatus(t.Context(), other)
		assertUnreachable(t, err, "account")
	})
}

func TestCacheEvents(t *testing.T) {
	o, _, server := start(t)
	events, err := o.CacheEvents(t.Context(), server, 0)
	assertNoError(t, err, "cache events")
	assertEqual(t, len(events), 0, "events")
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"server":"e1","incarnation":1,"term":3,"sequence":4,"group":"g","members":["e1"],"ready":true}`,
		`[{"sequence":1,"prefix":18446744073709551615,"evicted":true}]`, `{"term":-1}`, `null`, ``, `{"members":[1]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		account, err := decodeAccount(data)
		if err == nil && account.FencingToken().Less(fuchsiapitch.FencingToken{}) {
			t.Fatalf("fence: got %v, want at least zero", account.FencingToken())
		}
		_, _ = decodeCacheEvents(data)
	})
}

func TestUnchangedAccounts(t *testing.T) {
	o, e, server := start(t)
	first, err := o.EngineStatus(t.Context(), server)
	assertNoError(t, err, "first account")
	whole := e.WireBytes()
	again, err := o.EngineStatus(t.Context(), server)
	assertNoError(t, err, "account again")
	assertEqual(t, again.Incarnation(), first.Incarnation(), "incarnation")
	if got := e.WireBytes() - whole; got >= whole {
		t.Errorf("got %d bytes for an unchanged account, want fewer than the %d of a whole one", got, whole)
	}
	_, err = o.Order(t.Context(), server, newOrder(3))
	assertNoError(t, err, "order")
	changed, err := o.EngineStatus(t.Context(), server)
	assertNoError(t, err, "changed account")
	assertEqual(t, changed.FencingToken(), fuchsiapitch.NewFencingToken(3, 4), "fence")
}
