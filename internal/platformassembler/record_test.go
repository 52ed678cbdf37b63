package platformassembler

import (
	"context"
	"net/http"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// Guards against a claim that is appended twice. The response to an append is lost,
// and the claim is retried. A process with a lower epoch, as after a clock that was
// set back, must still be able to append.
func TestRetriedClaimIsAppendedOnce(t *testing.T) {
	store := standin.NewStore()
	endpoint, stop, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	storeClient := platform.NewStoreClient(endpoint.Address(), http.DefaultTransport)
	claimAppender := appender.New(storeClient, platform.ClaimsTopic, "host", 1)
	store.LoseAppendResponses(1)
	if _, err := claimAppender.Append(t.Context(), controllerKey, []byte("claim"), 0); err == nil {
		t.Fatal("got a response, want it lost")
	}
	offset, err := claimAppender.Append(t.Context(), controllerKey, []byte("claim"), 0)
	if err != nil || offset != 0 {
		t.Errorf("got offset %d and error %v, want 0", offset, err)
	}
	assertTopicEnd(t, storeClient, 1)
	if _, err := appender.New(storeClient, platform.ClaimsTopic, "host", 0).Append(t.Context(), controllerKey, []byte("late"), -1); err != nil {
		t.Errorf("got error %v for a process with a lower epoch, want none", err)
	}
	assertTopicEnd(t, storeClient, 2)
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(controllerKey, []byte(`{"address":"10.0.0.1:1","holder":"h","started":5}`))
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		record := platform.Record{Key: key, Value: data}
		if p, ok := decodeHostRecord(record); ok && p.Address == "" {
			t.Error("got a host without an address")
		}
		if c, ok := decodeClaimRecord(record, 0); ok && (c.Holder == "" || c.Number <= 0) {
			t.Errorf("got a claim of %q with number %d", c.Holder, c.Number)
		}
	})
}

func assertTopicEnd(t *testing.T, storeClient *platform.StoreClient, want int64) {
	t.Helper()
	page, err := storeClient.Newest(context.Background(), platform.ClaimsTopic)
	if err != nil || page.NextOffset != want {
		t.Errorf("got end %d and error %v, want %d", page.NextOffset, err, want)
	}
}
