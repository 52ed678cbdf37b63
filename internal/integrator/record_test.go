package integrator

import (
	"context"
	"net/http"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// The answer to a claim is lost: the same claim again enters nothing twice.
func TestClaimIsRepeated(t *testing.T) {
	store := standin.NewStore()
	faults, stop, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	calls := platform.NewStore(faults.Address(), http.DefaultTransport)
	claims := appender.New(calls, platform.ClaimsTopic, "host", 1)
	store.LoseAppendAnswers(1)
	if _, err := claims.Append(t.Context(), leadKey, []byte("claim"), 0); err == nil {
		t.Fatal("got an answer, want it lost")
	}
	offset, err := claims.Append(t.Context(), leadKey, []byte("claim"), 0)
	if err != nil || offset != 0 {
		t.Errorf("got offset %d and error %v, want 0", offset, err)
	}
	assertEnd(t, calls, 1)
	if _, err := appender.New(calls, platform.ClaimsTopic, "host", 0).Append(t.Context(), leadKey, []byte("late"), -1); err != nil {
		t.Errorf("got error %v for a life with a lower epoch, want none", err)
	}
	assertEnd(t, calls, 2)
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(leadKey, []byte(`{"address":"10.0.0.1:1","holder":"h","started":5}`))
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		item := platform.Item{Key: key, Value: data}
		if p, ok := decodePeer(item); ok && p.Address == "" {
			t.Error("got a host without an address")
		}
		if c, ok := decodeClaim(item); ok && (c.Holder == "" || c.Number <= 0) {
			t.Errorf("got a claim of %q with number %d", c.Holder, c.Number)
		}
	})
}

func assertEnd(t *testing.T, calls *platform.Store, want int64) {
	t.Helper()
	page, err := calls.Newest(context.Background(), platform.ClaimsTopic)
	if err != nil || page.Next != want {
		t.Errorf("got end %d and error %v, want %d", page.Next, err, want)
	}
}
