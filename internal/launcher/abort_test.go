package launcher

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
)

// Guards against requests that end without a response at the drain limit of a stop: their
// server works on them for longer.
func TestStopAnswersRequestsAtDrainLimit(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	cluster, _ := startCluster(t, WithHostOptions(assembler.WithLinger(10*time.Millisecond), assembler.WithDrainLimit(700*time.Millisecond)))
	host := cluster.Hosts()[0]
	configuration := host.EntryHost().Runner().Configuration()
	backend := fuchsiapitch.NewBackendServer("slow", fuchsiapitch.ApplicationServer, server.Listener.Addr().String(), "dc-a")
	cluster.OverrideFleet(t.Context(), configuration, fuchsiapitch.NewReplica("slow", "taller-app", backend, 8, ""))
	type result struct {
		response *http.Response
		err      error
	}
	results := make(chan result, 2)
	for method, path := range map[string]string{http.MethodGet: "lookups", http.MethodPost: "bookings"} {
		request, err := http.NewRequestWithContext(t.Context(), method, host.URL()+"/services/taller-app/"+path, http.NoBody)
		assertNoError(t, err, "create the request")
		request.Header.Set("Authorization", "Bearer "+testAPIKey)
		go func() {
			response, err := http.DefaultClient.Do(request)
			results <- result{response, err}
		}()
		select {
		case <-arrived:
		case r := <-results:
			t.Fatalf("got %+v, want a request in flight", r)
		}
	}
	host.Stop()
	for range 2 {
		var r result
		select {
		case r = <-results:
		case <-time.After(5 * time.Second):
			t.Fatal("got no response, want one before the host has stopped")
		}
		if r.err != nil {
			t.Errorf("got error %v, want a response", r.err)
			continue
		}
		r.response.Body.Close()
		if got, want := r.response.StatusCode, http.StatusBadGateway; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
		if got, want := r.response.Header.Get("X-Request-Outcome"), "unknown"; got != want {
			t.Errorf("got outcome %q, want %q", got, want)
		}
	}
}
