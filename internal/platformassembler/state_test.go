package platformassembler

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/pipe"
	"github.com/fuchsiapitch/fuchsiapitch/internal/watcher"
)

// Guards against hosts that start without the store and never get the state of another host,
// because the transfer takes longer than a second on a slow or shared link.
func TestSlowStateTransferIsCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := hostState{Configuration: bytes.Repeat([]byte{'c'}, 1<<20)}
		body, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		transport, stop := pipe.Serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			pipe.WriteSlowly(w, body, 50, 100*time.Millisecond)
		}))
		h := &Host{peerTransport: transport}
		got, err := h.requestState(t.Context(), "peer")
		if err != nil || !bytes.Equal(got.Configuration, want.Configuration) {
			t.Errorf("got %d bytes of configuration and error %v after 5s, want %d and none", len(got.Configuration), err, len(want.Configuration))
		}
		if err := stop(); err != nil {
			t.Errorf("got error %v at shutdown, want none", err)
		}
	})
}

// A host that stops sending in the middle of its state is given up.
func TestSilentStateTransferIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, stop := pipe.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			pipe.WriteSlowly(w, []byte(`{"configuration":`), 2, 500*time.Millisecond)
			<-r.Context().Done()
		}))
		h := &Host{peerTransport: transport}
		startedAt := time.Now()
		var silence *watcher.SilenceError
		if _, err := h.requestState(t.Context(), "peer"); !errors.As(err, &silence) {
			t.Errorf("got error %v, want a SilenceError", err)
		}
		if got, want := time.Since(startedAt), time.Second+stateTimeout; got != want {
			t.Errorf("got given up after %s, want %s", got, want)
		}
		if err := stop(); err != nil {
			t.Errorf("got error %v at shutdown, want none", err)
		}
	})
}

// Guards against all starting hosts asking the same one for its state.
func TestStateSourcesAreSpread(t *testing.T) {
	peers := []coordinator.PeerView{
		{ID: "dead", ConfigurationVersion: 7},
		{ID: "old", IsLive: true, ConfigurationVersion: 6},
		{ID: "a", IsLive: true, ConfigurationVersion: 7},
		{ID: "b", IsLive: true, ConfigurationVersion: 7},
		{ID: "c", IsLive: true, ConfigurationVersion: 7},
	}
	chosen := make(map[fuchsiapitch.HostID]int)
	for range 300 {
		p, ok := pickStateSource(peers)
		if !ok {
			t.Fatal("got no source, want one")
		}
		chosen[p.ID]++
	}
	for _, id := range []fuchsiapitch.HostID{"a", "b", "c"} {
		if chosen[id] == 0 {
			t.Errorf("got choices %v of 300, want some of %s", chosen, id)
		}
	}
	if len(chosen) != 3 {
		t.Errorf("got choices %v, want only live hosts with the latest version", chosen)
	}
	if _, ok := pickStateSource(peers[:1]); ok {
		t.Error("got a dead host as source, want none")
	}
}
