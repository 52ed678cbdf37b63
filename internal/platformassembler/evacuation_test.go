package platformassembler

import (
	"net/http"
	"sync"
	"testing"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// Failure: the operator evacuates zones while the store is away for one of the hosts, and takes
// them back when their servers are cold. Load: many clients at each host.
func TestEvacuationWithColdReturn(t *testing.T) {
	const path = standin.LookPathPrefix + "x"
	c := newTestCluster(t, 3)
	c.awaitController(t)
	c.publishEdited(t, 2, func(document map[string]any) {
		standin.SetColdLimits(document["services"].([]any)[1].(map[string]any))
	})
	c.Fleet.Server("p1").Place("z2")
	time.Sleep(2 * serverListInterval)
	c.StoreEndpoint(hostName(2)).Pause()
	c.Fleet.Evacuate("z2")
	c.await(t, "evacuation", func() bool { return c.isEvacuatedAtAll(t) })
	if got := c.sendLoad(t, path, 3*time.Second); got == 0 {
		t.Error("got no requests served while a zone is evacuated, want some")
	}
	c.assertNoViolation(t, "EVAC")
	c.Fleet.TakeBack("z2")
	before := c.Fleet.Server("p1").Runs()
	c.sendLoad(t, path, 2500*time.Millisecond)
	if got := c.Fleet.Server("p1").Runs() - before; got == 0 {
		t.Error("got no requests at the cold server, want some")
	}
	c.assertNoViolation(t, "FAILBACK")
	c.StoreEndpoint(hostName(2)).Resume()
}

// isEvacuatedAtAll reports whether all hosts know of an evacuation.
func (c *testCluster) isEvacuatedAtAll(t *testing.T) bool {
	t.Helper()
	for n := range c.clientAddresses {
		if len(c.fetchStatus(t, n).Evacuations) == 0 {
			return false
		}
	}
	return true
}

// sendLoad sends requests from many clients to all hosts for a time, and returns how many
// succeeded.
func (c *testCluster) sendLoad(t *testing.T, path string, span time.Duration) int {
	t.Helper()
	var clients sync.WaitGroup
	var mutex sync.Mutex
	succeeded := 0
	for n := range c.clientAddresses {
		for range 4 {
			clients.Go(func() {
				for start := time.Now(); time.Since(start) < span; {
					status, _, err := c.trySendChecked(t, n, path)
					if err != nil {
						t.Errorf("host %d: got error %v, want none", n, err)
						return
					}
					if status == http.StatusOK {
						mutex.Lock()
						succeeded++
						mutex.Unlock()
						continue
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	return succeeded
}
