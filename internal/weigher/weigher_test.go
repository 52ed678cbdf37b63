package weigher

import (
	"errors"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/weightstore"
)

func assertNoError(t *testing.T, err error, action string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", action, err)
	}
}

// A model name with a slash is escaped in the URL. An unreachable store is reported as
// unavailable.
func TestSize(t *testing.T) {
	store := weightstore.New(1)
	store.SetModelBytes("glaze/base", "1", 77)
	server, stopServer, err := store.Listen()
	assertNoError(t, err, "listen")
	t.Cleanup(stopServer)
	w, closeConnections := New(server.Address())
	t.Cleanup(closeConnections)

	t.Run("the size of a model whose name has a slash", func(t *testing.T) {
		got, err := w.BytesPerServer(t.Context(), "glaze/base", "1")
		assertNoError(t, err, "size")
		if got != 77 {
			t.Fatalf("size: got %d, want 77", got)
		}
	})
	t.Run("an unreachable store is reported as unavailable", func(t *testing.T) {
		server.Kill()
		_, err := w.BytesPerServer(t.Context(), "m", "1")
		var unavailable *fuchsiapitch.UnavailableError
		if !errors.As(err, &unavailable) {
			t.Fatalf("got %v, want an UnavailableError", err)
		}
	})
}

// Arbitrary input must either be rejected or yield a positive size.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"bytes": 5}`, `{"bytes": -1}`, `{}`, `null`, ``} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if size, err := decodeSize(data); err == nil && size <= 0 {
			t.Fatalf("size: got %d, want more than 0", size)
		}
	})
}
