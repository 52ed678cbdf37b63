package launcher

import (
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
)

// Guards against requests that a stopping host discards although their connection is open:
// each client sends one more request after the host has begun to stop, some after the
// linger period.
func TestStopServesOpenConnections(t *testing.T) {
	const linger = 100 * time.Millisecond
	cluster, _ := startCluster(t, WithHostOptions(assembler.WithLinger(linger)))
	host := cluster.Hosts()[0]
	// Each client has a connection of its own.
	clients := make([]*http.Client, 20)
	exchange := func(c *http.Client) error {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, host.URL()+"/v1/models", http.NoBody)
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+testAPIKey)
		response, err := c.Do(request)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		defer clients[i].CloseIdleConnections()
		assertNoError(t, exchange(clients[i]), "send a request")
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		host.Stop()
	}()
	for i, c := range clients {
		time.Sleep(2 * linger / time.Duration(len(clients)))
		if err := exchange(c); err != nil {
			t.Errorf("client %d: got error %v, want a response", i, err)
		}
	}
	<-stopped
	assertNoError(t, host.Err(), "stop the host")
}
