package platformassembler

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// restartSpan is how long lethal requests come after a restart of all hosts: longer than the first permit takes.
	restartSpan = 9 * time.Second
	// maxPermits is the number of requests with a lethal part that may reach servers once hosts have learned it, over
	// all restarts. Parts that are quarantined with it get their permits sooner, if a request tells them apart.
	maxPermits = 3
)

// learnLethalPart sends requests with the lethal part until all hosts have quarantined it and the store has that.
func (c *testCluster) learnLethalPart(t *testing.T) {
	t.Helper()
	c.Fleet.SetLethalPart(lethalPart)
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	c.sendPrompts(ctx, t, &clients, 1, 2, 100*time.Millisecond, lethalParts, func(promptResult) {})
	c.await(t, "quarantine", func() bool {
		return !slices.ContainsFunc(c.hostNumbers(), func(n int) bool { return !c.isQuarantined(t, n) })
	})
	cancel()
	clients.Wait()
	c.await(t, "stored quarantine", func() bool { return c.isStored(t) })
}

// hostNumbers returns the numbers of all hosts.
func (c *testCluster) hostNumbers() []int {
	numbers := make([]int, len(c.clientAddresses))
	for n := range numbers {
		numbers[n] = n
	}
	return numbers
}

// isQuarantined reports whether a host has the lethal part quarantined.
func (c *testCluster) isQuarantined(t *testing.T, host int) bool {
	t.Helper()
	return slices.Contains(c.fetchStatus(t, host).QuarantinedParts, quarantiner.NewPart(lethalPart).String())
}

// restartAllHosts kills all hosts, with a pause between two, and starts them again.
func (c *testCluster) restartAllHosts(ctx context.Context, t *testing.T, pause time.Duration) {
	t.Helper()
	for _, kill := range c.kills {
		kill()
		time.Sleep(pause)
	}
	c.killHosts(0)
	for _, n := range c.hostNumbers() {
		c.startHost(ctx, t, n)
	}
	for _, n := range c.hostNumbers() {
		c.awaitReady(t, n)
	}
}

// isStored reports whether the store has a quarantine of the lethal part.
func (c *testCluster) isStored(t *testing.T) bool {
	t.Helper()
	page, err := platform.NewStoreClient(c.StoreEndpoint(hostName(1)).Address(), http.DefaultTransport).Newest(t.Context(), platform.QuarantinesTopic)
	if err != nil {
		t.Fatal(err)
	}
	return slices.ContainsFunc(page.Records, func(r platform.Record) bool { return r.Key == quarantiner.NewPart(lethalPart).String() })
}

// Guards against a lethal part that all hosts forget when they end at once, so that it ends server after server again.
func TestLethalPartIsRememberedAfterRestartOfAllHosts(t *testing.T) {
	nothing := func(*testing.T, *testCluster) {}
	var withoutQuarantine standin.Copy
	tests := map[string]struct {
		pause    time.Duration
		restarts int
		// prepare is called before the hosts learn the part, disturb before they are killed.
		prepare, disturb func(*testing.T, *testCluster)
	}{
		"at once":             {restarts: 1, prepare: nothing, disturb: nothing},
		"one after the other": {pause: 200 * time.Millisecond, restarts: 1, prepare: nothing, disturb: nothing},
		"twice":               {restarts: 2, prepare: nothing, disturb: nothing},
		"store away":          {restarts: 1, prepare: nothing, disturb: takeStoreAway},
		"store slow": {
			restarts: 1, prepare: func(_ *testing.T, c *testCluster) { c.Store.SetDelay(400 * time.Millisecond) }, disturb: nothing,
		},
		"store refuses a host that writes": {
			restarts: 1, prepare: func(_ *testing.T, c *testCluster) { c.StoreEndpoint(hostName(0)).Pause() }, disturb: nothing,
		},
		"store gone back": {
			restarts: 1, prepare: func(_ *testing.T, c *testCluster) {
				c.Store.StateEra()
				withoutQuarantine = c.Store.Copy()
			}, disturb: func(t *testing.T, c *testCluster) {
				t.Helper()
				c.Store.GoBack(withoutQuarantine)
				c.await(t, "quarantine that is written again", func() bool { return c.isStored(t) })
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 3)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			tt.prepare(t, c)
			c.learnLethalPart(t)
			tt.disturb(t, c)
			before := c.Fleet.LethalCrashes(lethalPart)
			for range tt.restarts {
				c.restartAllHosts(ctx, t, tt.pause)
				sendCtx, stopSending := context.WithTimeout(ctx, restartSpan)
				var clients sync.WaitGroup
				c.sendPrompts(sendCtx, t, &clients, 1, 3, 100*time.Millisecond, lethalParts, func(promptResult) {})
				clients.Wait()
				stopSending()
			}
			if got := c.Fleet.LethalCrashes(lethalPart) - before; got > maxPermits {
				t.Errorf("got %d servers that ended after the restart, want those of the permits at most, %d", got, maxPermits)
			}
			c.assertNoViolation(t, "BUDGET")
		})
	}
}

// takeStoreAway takes the store away for two seconds, in which all hosts are killed and start again.
func takeStoreAway(_ *testing.T, c *testCluster) {
	c.Store.SetOutage(true)
	time.AfterFunc(2*time.Second, func() { c.Store.SetOutage(false) })
}

// Guards against a quarantine that comes back from the store after its part was answered, and a record that
// remains there.
func TestAnsweredPartIsFreeAfterRestartOfAllHosts(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c.learnLethalPart(t)
	c.restartAllHosts(ctx, t, 0)
	c.Fleet.SetLethalPart("")
	sendCtx, stopSending := context.WithCancel(ctx)
	var clients sync.WaitGroup
	c.sendPrompts(sendCtx, t, &clients, 1, 3, 100*time.Millisecond, lethalParts, func(promptResult) {})
	c.await(t, "end of the quarantine", func() bool {
		return !slices.ContainsFunc(c.hostNumbers(), func(n int) bool { return c.isQuarantined(t, n) })
	})
	stopSending()
	clients.Wait()
	c.await(t, "deleted record", func() bool { return !c.isStored(t) })
	c.restartAllHosts(ctx, t, 0)
	c.await(t, "complete stream with the part", func() bool { return c.sendPrompt(ctx, t, 0, []string{lethalPart, "own"}).isComplete })
	for _, n := range c.hostNumbers() {
		if c.isQuarantined(t, n) {
			t.Errorf("host %d: got the part quarantined, want it free", n)
		}
	}
}
