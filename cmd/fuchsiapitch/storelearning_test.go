package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/interceptor"
	standinplatform "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// refusedShare divides the number of hosts. The store refuses so many of them, for refusalTime.
	refusedShare = 3
	refusalTime  = 9 * time.Second
	// manyHosts is a number of hosts that use relays.
	manyHosts = 20
	// settleTime is how long the hosts run before a fault. A host that has just started takes the
	// configuration of others anyway.
	settleTime = 10 * time.Second
	// drainTime is how long a server that leaves serves after its entry says so (drain_ms).
	drainTime = 2 * time.Second
	// evacuationBound is the time after the acknowledgement of an evacuation from which nothing may be
	// sent to the data centre (evacuate_ms).
	evacuationBound = 5 * time.Second
)

// probeResult is the response to one request to a host.
type probeResult struct {
	sentAt time.Time
	// status is 0 if there was no response. server is the server that has run the request.
	status int
	server string
}

// startProbing sends requests with a key to each host, one after the other, until the returned
// function is called. That returns the results by host.
func (c *storeCluster) startProbing(t *testing.T, path, key string) func() [][]probeResult {
	t.Helper()
	results := make([][]probeResult, len(c.hosts))
	interval := time.Duration(len(c.hosts)) * 4 * time.Millisecond
	stopped := make(chan struct{})
	var probing sync.WaitGroup
	for n, h := range c.hosts {
		transport := c.installation.Fleet.Requester(h.name)
		probing.Go(func() {
			for {
				select {
				case <-stopped:
					return
				case <-time.After(interval):
				}
				results[n] = append(results[n], probe(t, transport, h.clientAddress, path, key))
			}
		})
	}
	return func() [][]probeResult {
		close(stopped)
		probing.Wait()
		return results
	}
}

// probe sends one request to a host.
func probe(t *testing.T, transport http.RoundTripper, address, path, key string) probeResult {
	t.Helper()
	result := probeResult{sentAt: time.Now()}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		t.Error(err)
		return result
	}
	request.Host = standinplatform.HostName
	request.Close = true
	request.Header.Set("X-Request-Id", fmt.Sprintf("probe-%s-%d", address, result.sentAt.UnixNano()))
	request.Header.Set("X-Credential", key)
	request.Header.Set("X-Deadline-Ms", "1500")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return result
	}
	response.Body.Close()
	result.status = response.StatusCode
	result.server = strings.TrimPrefix(response.Header.Get("X-Response-Seal"), "seal-")
	return result
}

// summarise returns for each host how many results since a time match, and how long after that time
// the request of the last one was sent, 0 for none.
func summarise(results [][]probeResult, since time.Time, matches func(probeResult) bool) (counts []int, last []time.Duration) {
	counts, last = make([]int, len(results)), make([]time.Duration, len(results))
	for n, list := range results {
		for _, r := range list {
			if r.sentAt.After(since) && matches(r) {
				counts[n]++
				last[n] = r.sentAt.Sub(since)
			}
		}
	}
	return counts, last
}

// assertNoneAfter checks that no result of any host that matches was sent later after a time than a
// bound.
func (c *storeCluster) assertNoneAfter(t *testing.T, what string, results [][]probeResult, since time.Time, bound time.Duration, matches func(probeResult) bool) {
	t.Helper()
	counts, last := summarise(results, since, matches)
	t.Logf("%s: counts %v, last %v, bound %s", what, counts, last, bound)
	for n, got := range last {
		if got > bound {
			t.Errorf("host %s: %s until %s, bound %s", c.hosts[n].name, what, got.Round(time.Millisecond), bound)
		}
	}
}

func isFailure(r probeResult) bool { return r.status != http.StatusOK }

// assertNoViolation checks that the servers have found no violation.
func (c *storeCluster) assertNoViolation(t *testing.T) {
	t.Helper()
	if got := c.installation.Fleet.Violations(); len(got) > 0 {
		t.Errorf("got %d violations, the first %q, want none", len(got), got[0])
	}
}

// refuse makes the store refuse the first hosts for refusalTime.
func (c *storeCluster) refuse(t *testing.T, refusal interceptor.Refusal) {
	t.Helper()
	for _, h := range c.hosts[:len(c.hosts)/refusedShare] {
		h.store.Refuse(refusal)
		timer := time.AfterFunc(refusalTime, func() { h.store.Refuse(interceptor.NoRefusal) })
		t.Cleanup(func() { timer.Stop() })
	}
}

// silenceOperatorPolls silences a long poll of the operator's topic at each host, soon after all of them
// have begun.
func (c *storeCluster) silenceOperatorPolls(t *testing.T) {
	t.Helper()
	c.version++
	c.installation.Store.PublishConfiguration(standinplatform.Configuration(c.version))
	time.Sleep(300 * time.Millisecond)
	for _, h := range c.hosts {
		awaitCondition(t, "a long poll in flight", func() bool { return h.store.Silence(isLongPoll(platform.OperatorTopic)) > 0 })
	}
}

// startServer starts a plain server.
func (c *storeCluster) startServer(t *testing.T, id string) {
	t.Helper()
	if _, err := c.installation.Fleet.StartServer(id, standinplatform.PlainService, ""); err != nil {
		t.Fatal(err)
	}
}

// assertReplacedServersUsed replaces all servers of a service, one after the other, beside a fault, and
// checks that hosts serve.
func assertReplacedServersUsed(t *testing.T, c *storeCluster, inject func(t *testing.T, c *storeCluster)) {
	t.Helper()
	stop := c.startProbing(t, standinplatform.LookPathPrefix+"x", standinplatform.APIKey)
	time.Sleep(time.Second)
	inject(t, c)
	faultAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	for n, pause := range []time.Duration{time.Second, 5 * time.Second} {
		c.startServer(t, fmt.Sprintf("new-%d", n))
		time.Sleep(300 * time.Millisecond)
		leaving := c.installation.Fleet.Server(fmt.Sprintf("p%d", n))
		leaving.StartDraining()
		time.Sleep(drainTime)
		leaving.Exit()
		time.Sleep(pause)
	}
	c.assertNoneAfter(t, "requests that were not served", stop(), faultAt, refusedHostBound, isFailure)
	c.assertNoViolation(t)
}

// Guards against hosts that know no server any more, because the store refuses them while all servers of a
// service are replaced.
func TestReplacedServersAreUsedByHostsThatStoreRefuses(t *testing.T) {
	for name, refusal := range map[string]interceptor.Refusal{"503": interceptor.Unavailable, "unanswered": interceptor.Unanswered} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assertReplacedServersUsed(t, startStoreCluster(t), func(t *testing.T, c *storeCluster) {
				t.Helper()
				c.refuse(t, refusal)
			})
		})
	}
}

// Guards against hosts that know no server any more, because their idle connections to the store deliver
// nothing while all servers of a service are replaced.
func TestReplacedServersAreUsedAfterSilenceOfConnections(t *testing.T) {
	assertReplacedServersUsed(t, startStoreCluster(t), func(t *testing.T, c *storeCluster) {
		t.Helper()
		for _, h := range c.hosts {
			h.store.Silence(func(pending *http.Request) bool { return !isLongPoll(platform.OperatorTopic)(pending) })
		}
	})
}

// startLargeStoreCluster starts manyHosts hosts in one data centre and waits until all are ready and use
// relays. These are the first host and that after the six, by name.
func startLargeStoreCluster(t *testing.T) *storeCluster {
	t.Helper()
	c := startStoreCluster(t)
	for n := len(c.hosts); n < manyHosts; n++ {
		c.hosts = append(c.hosts, startStoreHost(t, c.installation, fmt.Sprintf("h%02d", n)))
	}
	for _, h := range c.hosts {
		awaitCondition(t, "host "+h.name+" to be ready", func() bool { return get(t, h.readinessAddress, "/ready", "") == http.StatusOK })
	}
	time.Sleep(5 * time.Second)
	return c
}

// Guards against hosts of a large cluster that know no server any more, because the store refuses them and
// their relays while all servers of a service are replaced.
func TestReplacedServersAreUsedByHostsWhoseRelaysStoreRefuses(t *testing.T) {
	for name, relays := range map[string]int{"one relay": 1, "both relays": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startLargeStoreCluster(t)
			if relays == 2 {
				c.hosts[1], c.hosts[6] = c.hosts[6], c.hosts[1]
			}
			assertReplacedServersUsed(t, c, func(t *testing.T, c *storeCluster) {
				t.Helper()
				c.refuse(t, interceptor.Unavailable)
			})
		})
	}
}

// assertEvacuationInForce evacuates the data centre of one of two servers beside a fault, and checks when
// hosts send that server nothing more.
func assertEvacuationInForce(t *testing.T, inject func(t *testing.T, c *storeCluster)) {
	t.Helper()
	c := startStoreCluster(t)
	c.installation.Fleet.Server("p1").Place("z2")
	time.Sleep(time.Second)
	stop := c.startProbing(t, standinplatform.LookPathPrefix+"x", standinplatform.APIKey)
	inject(t, c)
	time.Sleep(100 * time.Millisecond)
	evacuatedAt := time.Now()
	c.installation.Fleet.Evacuate("z2")
	time.Sleep(8 * time.Second)
	results := stop()
	c.assertNoneAfter(t, "requests to an evacuated server", results, evacuatedAt, evacuationBound, func(r probeResult) bool { return r.server == "p1" })
	c.assertNoneAfter(t, "requests that were not served", results, evacuatedAt, 0, isFailure)
}

// Guards against an evacuation that hosts learn late, because the store refuses them.
func TestEvacuationIsInForceAtHostsThatStoreRefuses(t *testing.T) {
	for name, refusal := range map[string]interceptor.Refusal{"503": interceptor.Unavailable, "unanswered": interceptor.Unanswered} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assertEvacuationInForce(t, func(t *testing.T, c *storeCluster) {
				t.Helper()
				c.refuse(t, refusal)
			})
		})
	}
}

// Guards against an evacuation that all hosts learn late, because the connections with a long poll of the
// operator's topic in flight, and only these, deliver nothing any more.
func TestEvacuationIsInForceAfterSilenceOfLongPolls(t *testing.T) {
	assertEvacuationInForce(t, func(t *testing.T, c *storeCluster) {
		t.Helper()
		c.silenceOperatorPolls(t)
	})
}

// publishKey publishes a version in which a key replaces the only one.
func (c *storeCluster) publishKey(t *testing.T, key string) {
	t.Helper()
	c.version++
	var document map[string]any
	if err := json.Unmarshal(standinplatform.Configuration(c.version), &document); err != nil {
		t.Fatal(err)
	}
	document["tenants"] = []any{map[string]any{"name": "customer-1", "api_keys": []string{key}}}
	data, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	c.installation.Store.PublishConfiguration(data)
}

// assertKeyInForce publishes a version with another key beside a fault, and checks when hosts accept only
// that.
func assertKeyInForce(t *testing.T, bound time.Duration, inject func(t *testing.T, c *storeCluster)) {
	t.Helper()
	const addedKey = "key-added"
	c := startStoreCluster(t)
	time.Sleep(settleTime)
	inject(t, c)
	time.Sleep(100 * time.Millisecond)
	publishedAt := time.Now()
	c.publishKey(t, addedKey)
	stopRemoved := c.startProbing(t, standinplatform.LookPathPrefix+"x", standinplatform.APIKey)
	stopAdded := c.startProbing(t, standinplatform.LookPathPrefix+"x", addedKey)
	time.Sleep(refusalTime + time.Second)
	c.assertNoneAfter(t, "requests with a removed key that were served", stopRemoved(), publishedAt, bound, func(r probeResult) bool { return r.status == http.StatusOK })
	c.assertNoneAfter(t, "requests with an added key that were refused", stopAdded(), publishedAt, bound, func(r probeResult) bool { return r.status == http.StatusUnauthorized })
}

// Guards against an added key that is refused, and a removed one that is accepted, by hosts that the store
// refuses, although the other hosts have the version.
func TestReplacedKeyIsInForceAtHostsThatStoreRefuses(t *testing.T) {
	assertKeyInForce(t, refusedHostBound, func(t *testing.T, c *storeCluster) {
		t.Helper()
		c.refuse(t, interceptor.Unavailable)
	})
}

// Guards against an added key that is refused, and a removed one that is accepted, because the connections
// with a long poll in flight, and only these, deliver nothing any more.
func TestReplacedKeyIsInForceAfterSilenceOfLongPolls(t *testing.T) {
	assertKeyInForce(t, stableWindow, func(t *testing.T, c *storeCluster) {
		t.Helper()
		c.silenceOperatorPolls(t)
	})
}

// Guards against a host that starts with the state of hosts from before a version, and keeps it, because
// none of its own reads of the operator's topic is answered.
func TestHostThatStartsTakesLaterVersion(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			c := startStoreCluster(t)
			startedAt := time.Now()
			h := startStoreHost(t, c.installation, "h6")
			silenced := make(chan struct{})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				defer close(silenced)
				for ctx.Err() == nil {
					h.store.Silence(func(pending *http.Request) bool {
						return pending != nil && pending.URL.Query().Get("topic") == platform.OperatorTopic
					})
					time.Sleep(time.Millisecond)
				}
			}()
			time.Sleep(delay)
			path := c.publishRoute(t)
			acknowledgedAt := time.Now()
			c.hosts = append(c.hosts, h)
			lastRefusals := c.awaitRoute(t, path, acknowledgedAt)
			cancel()
			<-silenced
			c.assertRouteServed(t, lastRefusals, max(configurationBound, stableWindow-acknowledgedAt.Sub(startedAt)))
		})
	}
}

// isController reports whether a host says that it is the controller.
func (h *storeHost) isController(t *testing.T) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.readinessAddress+"/status", http.NoBody)
	if err != nil {
		t.Error(err)
		return false
	}
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status struct {
		Leads bool `json:"leads"`
	}
	return json.NewDecoder(response.Body).Decode(&status) == nil && status.Leads
}

// controllers returns the hosts that say that they are the controller.
func (c *storeCluster) controllers(t *testing.T) []*storeHost {
	t.Helper()
	var list []*storeHost
	for _, h := range c.hosts {
		if h.isController(t) {
			list = append(list, h)
		}
	}
	return list
}

// Guards against two controllers, and against none, because the connections with a long poll of the claims
// in flight, and only these, deliver nothing any more while the controller stands still for a time.
func TestOneControllerAfterSilenceOfClaims(t *testing.T) {
	c := startStoreCluster(t)
	awaitCondition(t, "a controller", func() bool { return len(c.controllers(t)) == 1 })
	time.Sleep(time.Second)
	frozen := c.controllers(t)[0]
	stop := c.startProbing(t, standinplatform.LookPathPrefix+"x", standinplatform.APIKey)
	for _, h := range c.hosts {
		awaitCondition(t, "a long poll in flight", func() bool { return h.store.Silence(isLongPoll(platform.ClaimsTopic)) > 0 })
	}
	signalProcess(t, frozen.process, syscall.SIGSTOP)
	frozenAt := time.Now()
	time.Sleep(stableWindow)
	if got := len(c.controllers(t)); got != 1 {
		t.Errorf("got %d controllers %s after the controller stood still, want 1", got, stableWindow)
	}
	signalProcess(t, frozen.process, syscall.SIGCONT)
	continuedAt := time.Now()
	for time.Since(continuedAt) < 4*time.Second {
		got := c.controllers(t)
		if len(got) > 1 && time.Since(continuedAt) > time.Second {
			t.Fatalf("got %d controllers %s after the former one went on, want 1", len(got), time.Since(continuedAt))
		}
	}
	c.assertNoneAfter(t, "requests that were not served", stop(), frozenAt, stableWindow, isFailure)
	c.assertNoViolation(t)
}

// Guards against a group that stays incomplete, because the store refuses the controller, which does not
// learn of the servers that could replace the lost ones.
func TestGroupIsRepairedByControllerThatStoreRefuses(t *testing.T) {
	const groups, lost = 4, 3
	c := startStoreCluster(t)
	awaitCondition(t, "a controller", func() bool { return len(c.controllers(t)) == 1 })
	awaitCondition(t, "groups", func() bool { return c.installation.Fleet.CompleteGroups() == groups })
	time.Sleep(time.Second)
	controller := c.controllers(t)[0]
	controller.store.Refuse(interceptor.Unavailable)
	timer := time.AfterFunc(refusalTime, func() { controller.store.Refuse(interceptor.NoRefusal) })
	defer timer.Stop()
	time.Sleep(200 * time.Millisecond)
	for n := range lost {
		if _, err := c.installation.Fleet.StartServer(fmt.Sprintf("new-%d", n), standinplatform.ModelService, "domain-0"); err != nil {
			t.Fatal(err)
		}
	}
	startedAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	for n := range lost {
		c.installation.Fleet.Server(fmt.Sprintf("e0%d", n)).SimulateLoss()
	}
	awaitCondition(t, "groups", func() bool { return c.installation.Fleet.CompleteGroups() == groups })
	t.Logf("repaired after %s", time.Since(startedAt))
	if got := time.Since(startedAt); got > refusedHostBound {
		t.Errorf("got all groups %s after the new servers had started, want them within %s", got, refusedHostBound)
	}
	c.assertNoViolation(t)
}
