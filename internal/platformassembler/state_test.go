package platformassembler

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/evacuator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/relayer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/pipe"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/internal/watcher"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
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
			pipe.WriteSlowly(w, []byte(`{"configuration":"`+strings.Repeat("c", 64<<10)), 2, 500*time.Millisecond)
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

// Guards against hosts that start with a configuration older than the one that their source
// has in force, because the source received an older one, or an invalid one, afterwards.
func TestServedStateHoldsConfigurationInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{meter: meter.New(), relayer: relayer.New(nil, nil, platform.Headers{}), driver: newIdleDriver(t)}
		want := `{"version":9}`
		for _, value := range []string{want, `{"version":7}`, `{"version":`} {
			h.applyConfiguration([]byte(value), storeSource)
		}
		transport, stop := pipe.Start(&http.Server{Handler: h.peerHandler()})
		h.peerTransport = transport
		s, err := h.requestState(t.Context(), "peer")
		if got := string(s.Configuration); err != nil || got != want {
			t.Errorf("got configuration %s with error %v, want %s", got, err, want)
		}
		if err := stop(); err != nil {
			t.Errorf("got error %v at shutdown, want none", err)
		}
	})
}

// newIdleDriver returns a driver that has no socket, servers or store.
func newIdleDriver(t *testing.T) *driver.Driver {
	t.Helper()
	return driver.New(t.Context(), coordinator.New(coordinator.Peer{ID: "host"}, 1), nil, nil, nil)
}

// Guards against a source that cuts off the state for all hosts that receive it slowly.
func TestStateIsServedToSlowHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{meter: meter.New(), relayer: relayer.New(nil, nil, platform.Headers{}), driver: newIdleDriver(t)}
		h.applyConfiguration([]byte(`{"version":1}`), storeSource)
		h.cacheServers(tracker.Update{Records: []platform.Record{{Key: "server", Value: bytes.Repeat([]byte{'s'}, 1<<20)}}})
		transport, stop := pipe.Start(&http.Server{Handler: h.peerHandler()})
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://peer"+statePath, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		received, buffer := 0, make([]byte, 4096)
		for err == nil {
			var n int
			n, err = response.Body.Read(buffer)
			received += n
			time.Sleep(50 * time.Millisecond)
		}
		if want := 4 << 20 / 3; !errors.Is(err, io.EOF) || received < want {
			t.Errorf("got %d bytes with error %v, want more than %d and %v", received, err, want, io.EOF)
		}
		response.Body.Close()
		if err := stop(); err != nil {
			t.Errorf("got error %v at shutdown, want none", err)
		}
	})
}

// Guards against a host that starts without the store, and sends requests to an evacuated data
// centre, or more to cold servers than the hosts that it does not know leave it.
func TestStateHasEvacuationsAndHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &Host{meter: meter.New(), relayer: relayer.New(nil, nil, platform.Headers{}), driver: newIdleDriver(t)}
		source.applyOperatorTopic(tracker.Update{IsSnapshot: true, NextOffset: 9, Records: []platform.Record{
			{Key: platform.ConfigurationKey, Value: []byte(`{"version":1}`)}, {Key: "evacuate/dc-east", Value: []byte("{}"), Offset: 5},
		}})
		source.applyHostList(tracker.Update{Records: []platform.Record{{Key: "other", Value: []byte(`{"address":"10.0.0.7:7000","data-centre":"dc"}`)}}})
		transport, stop := pipe.Start(&http.Server{Handler: source.peerHandler()})
		h := &Host{meter: meter.New(), relayer: relayer.New(nil, nil, platform.Headers{}), driver: newIdleDriver(t), peerTransport: transport}
		if err := h.fetchState(t.Context(), "peer"); err != nil {
			t.Fatal(err)
		}
		view := h.driver.View()
		want := []evacuator.News{{DataCentre: "dc-east", Evacuated: true, Version: evacuator.Version{Offset: 6}}}
		if got := view.Evacuations; !slices.Equal(got, want) {
			t.Errorf("got evacuations %v, want %v", got, want)
		}
		if got := view.Peers; len(got) != 1 || got[0].ID != "other" {
			t.Errorf("got hosts %v, want the one that the source knows", got)
		}
		if err := stop(); err != nil {
			t.Errorf("got error %v at shutdown, want none", err)
		}
	})
}
